//===- logtest.cpp - Tests of structured logs -----------------------------===//

#include "harelink/Support/log.h"

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

using namespace harelink;

TEST_GROUP(Log){};

TEST(Log, QuotesValuesWithSpacesOrQuotes)
{
    STRCMP_EQUAL("plain", logValue("plain").c_str());
    STRCMP_EQUAL("\"two words\"", logValue("two words").c_str());
    STRCMP_EQUAL("\"a \\\"b\\\"\"", logValue("a \"b\"").c_str());
    // Line breaks are replaced, or a value could forge a log line.
    STRCMP_EQUAL("\"a b\"", logValue("a\nb").c_str());
}

TEST(Log, ValuesOfOthersAreOneShortLineOfText)
{
    STRCMP_EQUAL("\"a b c\"", logValue("a\x7f"
                                       "b\x1b"
                                       "c")
                                  .c_str());
    STRCMP_EQUAL("caf\xef\xbf\xbd", logValue("caf\xe9").c_str());
    STRCMP_EQUAL("caf\xc3\xa9", logValue("caf\xc3\xa9").c_str());
    CHECK(logValue(std::string(1'000'000, 'x')).size() < 5000);
    CHECK(logValue(std::string(1'000'000, '\xff')).size() < 15'000);
}

TEST(Log, FullPipeDoesNotBlockAndDroppedLinesAreCounted)
{
    int pipeEnds[2];
    CHECK(pipe(pipeEnds) == 0);
    const int savedStdout = dup(STDOUT_FILENO);
    fflush(stdout);
    dup2(pipeEnds[1], STDOUT_FILENO);
    (void)fcntl(STDOUT_FILENO, F_SETFL, O_NONBLOCK);
    const std::uint64_t before = droppedLogLines();
    const auto begin = std::chrono::steady_clock::now();
    constexpr int lines = 2000;
    const Logger logger("test");
    for (int i = 0; i < lines; ++i) {
        logger.record(LogLevel::Error, "filler").field("text", std::string(200, 'x'));
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    dup2(savedStdout, STDOUT_FILENO);
    close(savedStdout);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
    CHECK(droppedLogLines() > before);
    CHECK(elapsed < std::chrono::seconds(5));
}
