//===- daemons.h - Client of the daemons' operator API ----------*- C++ -*-===//
///
/// \file
/// Finds the daemons in the platform's host list and calls their operator API.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TOOLS_HARELINK_DAEMONS_H
#define HARELINK_TOOLS_HARELINK_DAEMONS_H

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace harelink::cli {

/// A daemon in the host list.
struct ListedDaemon
{
    std::string host;
    std::string dataCentre;
    std::string operators; ///< Address of its operator API.
};

/// Returns the daemons in the host list; an error if the platform does not answer.
[[nodiscard]] absl::StatusOr<std::vector<ListedDaemon>> listDaemons();
/// Returns the status that \p daemon reports, or null if it does not answer.
[[nodiscard]] nlohmann::json fetchStatus(const ListedDaemon &daemon);
/// Requests a planned stop of \p daemon; returns false if it does not accept it.
[[nodiscard]] bool requestDrain(const ListedDaemon &daemon);

} // namespace harelink::cli

#endif // HARELINK_TOOLS_HARELINK_DAEMONS_H
