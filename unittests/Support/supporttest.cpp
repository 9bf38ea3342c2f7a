//===- supporttest.cpp - Tests of the support library ---------------------===//

#include "harelink/Support/error.h"
#include "harelink/Support/hash.h"
#include "harelink/Support/random.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

TEST_GROUP(Support){};

TEST(Support, ErrorCarriesStepAndPeer)
{
    const absl::Status error =
        makeError(absl::StatusCode::kUnavailable, "stage encode", "encoder-1", "refused");
    STRCMP_EQUAL("stage encode", errorStep(error).c_str());
    STRCMP_EQUAL("encoder-1", errorPeer(error).c_str());
    STRCMP_EQUAL("stage encode at encoder-1: refused", describeError(error).c_str());
}

TEST(Support, RandomNumbersAreTheSameOnEveryPlatform)
{
    Random random(42);
    // The engine and the distribution specify these values.
    CHECK_EQUAL(13930160852258120406ULL, random.bits());
    CHECK_EQUAL(11788048577503494824ULL, random.bits());
    for (int i = 0; i < 1000; ++i) {
        CHECK(random.below(7) < 7);
        const double unit = random.unit();
        CHECK(unit >= 0 && unit < 1);
    }
}

TEST(Support, HashesAreStable)
{
    STRCMP_EQUAL("99aa06d3014798d86001c324468d497f", toHex(hash128("")).c_str());
    CHECK(hash64("a", 1) != hash64("a", 2));
}
