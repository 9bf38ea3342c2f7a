//===- harelink/Config/objectwriter.h - Stored object writing ---*- C++ -*-===//
///
/// \file
/// Forms the objects that operators write in harelink's own format. Each states a count of its
/// writes, by which daemons distinguish a write from an older copy that the store has returned
/// from.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_OBJECTWRITER_H
#define HARELINK_CONFIG_OBJECTWRITER_H

#include "harelink/Support/clock.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace harelink {

/// The field of an object that holds the count of its writes.
inline constexpr const char *generationField = "generation";

/// The highest count. Readers that hold numbers in doubles keep integers up to 2^53 exact.
inline constexpr std::uint64_t maxGeneration = std::uint64_t{1} << 53U;

/// The time for which an ended drain is kept before it may be removed. Daemons keep an object that
/// is missing from a store that has returned from a copy for 60 s, so by then no daemon takes an
/// ended drain for a lost one.
inline constexpr std::chrono::seconds endedDrainPeriod{60};

/// Returns the count that the object \p value states; std::nullopt if there is none or if it is
/// invalid.
[[nodiscard]] std::optional<std::uint64_t> statedGeneration(const std::string &value);

/// Returns what is wrong with the count that the object \p value states, as "field: message" with
/// the value; std::nullopt if it is valid or if there is none.
[[nodiscard]] std::optional<std::string> generationFault(const std::string &value);

/// Returns \p document with a count that is higher than that of \p stored and than the wall clock
/// in microseconds. The clock keeps the count rising if the store has lost the last one. At
/// maxGeneration it rises no more.
///
/// \param stored the object that is replaced, as read from the store; empty if there is none.
[[nodiscard]] nlohmann::json withNextGeneration(nlohmann::json document, const std::string &stored,
                                                WallTime now);

/// Returns the object \p value without its count, or a null value if it cannot be read.
[[nodiscard]] nlohmann::json withoutGeneration(const std::string &value);

/// Returns \p drain, a DataCentreDrain, as ended at \p now. The object stays in the store for a
/// while, so that daemons distinguish the end of a drain from a drain that the store has lost.
[[nodiscard]] nlohmann::json withDrainEnd(nlohmann::json drain, WallTime now);

/// Returns when the DataCentreDrain \p document ended, or std::nullopt if it is in force.
[[nodiscard]] std::optional<WallTime> drainEnd(const nlohmann::json &document);

} // namespace harelink

#endif // HARELINK_CONFIG_OBJECTWRITER_H
