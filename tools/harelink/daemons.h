//===- daemons.h - The daemons as the command line sees them ----*- C++ -*-===//
///
/// \file
/// Finds the daemons on the platform's host list and asks them, one by one.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TOOLS_HARELINK_DAEMONS_H
#define HARELINK_TOOLS_HARELINK_DAEMONS_H

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace harelink::cli {

/// A daemon on the host list.
struct ListedDaemon
{
    std::string host;
    std::string dataCentre;
    std::string operators; ///< Where it listens for operators.
};

/// The daemons on the host list, by name; an error where the platform is silent.
[[nodiscard]] absl::StatusOr<std::vector<ListedDaemon>> listDaemons();
/// What \p daemon says of itself, or null where it does not answer.
[[nodiscard]] nlohmann::json askStatus(const ListedDaemon &daemon);
/// Tells \p daemon to stop as planned; false where it does not answer.
[[nodiscard]] bool tellDrain(const ListedDaemon &daemon);

} // namespace harelink::cli

#endif // HARELINK_TOOLS_HARELINK_DAEMONS_H
