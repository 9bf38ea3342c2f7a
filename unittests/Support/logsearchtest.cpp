//===- logsearchtest.cpp - Tests of the log search ------------------------===//

#include "harelink/Support/logsearch.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

TEST_GROUP(LogSearch){};

TEST(LogSearch, FindsFieldsAfterQuotedValues)
{
    const char *line = "time=1 detail=\"a request=x \\\" b\" request=y";
    STRCMP_EQUAL("y", std::string(logField(line, "request")).c_str());
    STRCMP_EQUAL("", std::string(logField(line, "absent")).c_str());
}

TEST(LogSearch, FindsRequestLinesAndStateChangesBetweenThemInTimeOrder)
{
    LogSearch search("r-1");
    search.add("a.log", "time=03 event=request-answered request=r-1");
    search.add("a.log", "time=01 event=pieces-ordered request=r-1");
    search.add("a.log", "time=02 event=peer-silent host=h2");
    search.add("a.log", "time=09 event=peer-heard host=h2");
    search.add("a.log", "time=02 event=request-answered request=r-2");
    search.add("b.log", "time=02 event=piece-call-failed request=r-1");
    search.add("b.log", "time=01 event=peer-silent host=h3");
    const std::vector<LogLine> lines = search.found();
    LONGS_EQUAL(4, lines.size());
    STRCMP_EQUAL("event=pieces-ordered request=r-1", lines[0].text.c_str());
    STRCMP_EQUAL("event=peer-silent host=h2", lines[1].text.c_str());
    STRCMP_EQUAL("b.log", lines[2].source.c_str());
}

TEST(LogSearch, HostBeforeTheTimeIsTheSource)
{
    LogSearch search("r-1");
    search.add("all.log", "  12.5 front-1 time=01 event=request-answered request=r-1");
    STRCMP_EQUAL("front-1", search.found()[0].source.c_str());
}
