//===- overloadtest.cpp - Tests of decisions under load -------------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/requestmachineimpl.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

using Bench = MachineBench<AllGuards>;

} // namespace

TEST_GROUP(Overload){};

TEST(Overload, AnEndpointThatRefusedIsLeftAloneForPartOfACall)
{
    Bench bench(1, 4);
    bench.arrive("answer");
    bench.advance(milliseconds(40));
    bench.answer(bench.sends.at(0).call);
    bench.arrive("answer");
    const std::size_t sends = bench.sends.size();
    bench.failCall(bench.sends.back().call, SendEvidence::RefusedBeforeRun);
    CHECK_EQUAL(sends, bench.sends.size());
    bench.advance(milliseconds(9));
    CHECK_EQUAL(sends, bench.sends.size());
    bench.advance(milliseconds(2));
    CHECK_EQUAL(sends + 1, bench.sends.size());
}

TEST(Overload, RefusalsDoNotUseUpARequestsSends)
{
    Bench bench(1, 4);
    bench.arrive("answer");
    for (int i = 0; i < 40; ++i) {
        bench.failCall(bench.sends.back().call, SendEvidence::RefusedBeforeRun);
        bench.advance(milliseconds(3));
    }
    CHECK_EQUAL(41u, bench.sends.size());
    CHECK_EQUAL(0u, bench.answers.size());
}
