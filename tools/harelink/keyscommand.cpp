//===- keyscommand.cpp - The keys command ---------------------------------===//

#include "commands.h"
#include "platform.h"

#include "harelink/Adapters/peerlink.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DECLARE_string(output);

namespace harelink::cli {

int keysCommand(const Words &words)
{
    if (!words.empty()) {
        fmt::print(stderr, "harelink: usage: harelink keys [--output json]\n");
        return ExitUsage;
    }
    const PeerKeys keys = makePeerKeys();
    if (FLAGS_output == "json") {
        const nlohmann::json shown = {{"public", keys.publicKey}, {"secret", keys.secretKey}};
        fmt::print("{}\n", shown.dump());
        return ExitDone;
    }
    fmt::print("public  {}\nsecret  {}\n", keys.publicKey, keys.secretKey);
    return ExitDone;
}

} // namespace harelink::cli
