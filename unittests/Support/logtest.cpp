//===- logtest.cpp - Tests of structured logs -----------------------------===//

#include "harelink/Support/log.h"

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

using namespace harelink;

TEST_GROUP(Log){};

TEST(Log, ValuesWithBlanksOrQuotesAreQuoted)
{
    STRCMP_EQUAL("plain", logValue("plain").c_str());
    STRCMP_EQUAL("\"two words\"", logValue("two words").c_str());
    STRCMP_EQUAL("\"a \\\"b\\\"\"", logValue("a \"b\"").c_str());
    // A line break would begin a line that nobody wrote.
    STRCMP_EQUAL("\"a b\"", logValue("a\nb").c_str());
}

TEST(Log, AFullPipeBlocksNobodyAndTheLossIsCounted)
{
    int ends[2];
    CHECK(pipe(ends) == 0);
    const int saved = dup(STDOUT_FILENO);
    fflush(stdout);
    dup2(ends[1], STDOUT_FILENO);
    (void)fcntl(STDOUT_FILENO, F_SETFL, O_NONBLOCK);
    const std::uint64_t before = droppedLogLines();
    const auto begin = std::chrono::steady_clock::now();
    constexpr int lines = 2000;
    const Logger logger("test");
    for (int i = 0; i < lines; ++i) {
        logger.record(LogLevel::Error, "filler").field("text", std::string(200, 'x'));
    }
    const auto took = std::chrono::steady_clock::now() - begin;
    dup2(saved, STDOUT_FILENO);
    close(saved);
    close(ends[0]);
    close(ends[1]);
    CHECK(droppedLogLines() > before);
    CHECK(took < std::chrono::seconds(5));
}
