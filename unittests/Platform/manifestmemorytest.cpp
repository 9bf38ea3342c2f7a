//===- manifestmemorytest.cpp - Memory of thousands of endpoints ----------===//

#include "manifest.h"

#include "harelink/Kernel/configmachine.h"
#include "harelink/Kernel/snapshot.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <malloc.h>

using namespace harelink;

namespace {

constexpr int endpointCount = 5000;

PlatformObject serverObject(int index, Version version)
{
    return {"servers", fmt::format("i-{:08x}", index), version, false,
            fmt::format(R"({{"service":"modelo-leite","addr":"10.64.{}.{}:8080",)"
                        R"("zone":"sala-famalicao","version":"3.14.1","slots":64,)"
                        R"("state":"ready","seq":{},"born":17647200{:05}}})",
                        index / 200, index % 200 + 1, version, index)};
}

PlatformObject manifestObject()
{
    return {"config", "main", 1, false,
            R"({"version":1,"services":[{"name":"modelo-leite","engine":{"kv-capacity":560718}}],)"
            R"("routes":[]})"};
}

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

TEST_GROUP(ManifestMemory){};

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// The sanitizers replace malloc, so that mallinfo2() reports nothing.
IGNORE_TEST(ManifestMemory, EndpointTakesFewBytesWhileTwoSnapshotsExist) {}
#else
/// A host of 160 MB must hold the configuration of a large fleet. With 10,000 endpoints a daemon
/// may take 25 MB, of which 9 MB do not depend on the configuration.
TEST(ManifestMemory, EndpointTakesFewBytesWhileTwoSnapshotsExist)
{
    constexpr std::size_t maxBytesPerEndpoint = 16'000'000 / 10'000;
    const fleet::ManifestReader reader;
    const std::size_t before = allocatedBytes();
    ConfigTable table(reader);
    (void)table.apply(manifestObject());
    for (int i = 0; i < endpointCount; ++i) {
        (void)table.apply(serverObject(i, static_cast<std::uint64_t>(i) + 2));
    }
    table.discardUpdates();
    const auto first = buildSnapshot(table.resources(), 1, "sala-fafe", nullptr);
    (void)table.apply(serverObject(0, endpointCount + 2));
    const auto second = buildSnapshot(table.resources(), 2, "sala-fafe", first.get());
    LONGS_EQUAL(endpointCount, second->pool("modelo-leite")->endpoints.size());
    const std::size_t perEndpoint = (allocatedBytes() - before) / endpointCount;
    CHECK_TEXT(perEndpoint <= maxBytesPerEndpoint,
               fmt::format("{} bytes for each endpoint", perEndpoint).c_str());
}
#endif
