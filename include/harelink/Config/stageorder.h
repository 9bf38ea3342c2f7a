//===- harelink/Config/stageorder.h - Order of piece stages -----*- C++ -*-===//
///
/// \file
/// Orders piece stages by their dependencies. The index of a stage says nothing about them.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_STAGEORDER_H
#define HARELINK_CONFIG_STAGEORDER_H

#include "harelink/Config/resources.h"

#include <cstdint>
#include <vector>

namespace harelink {

/// Returns the indexes of \p stages so that each stage follows those that it depends on, and the
/// lowest index comes first where several may. Stages that depend on each other or on one that
/// does not exist are left out, with all that depend on them.
[[nodiscard]] std::vector<std::uint32_t> dependencyOrder(const std::vector<PieceStageSpec> &stages);

} // namespace harelink

#endif // HARELINK_CONFIG_STAGEORDER_H
