//===- stageorder.cpp - Order of piece stages -----------------------------===//

#include "harelink/Config/stageorder.h"

#include <cstddef>
#include <functional>
#include <queue>

namespace harelink {

std::vector<std::uint32_t> dependencyOrder(const std::vector<PieceStageSpec> &stages)
{
    const auto count = static_cast<std::uint32_t>(stages.size());
    std::vector<std::vector<std::uint32_t>> dependents(count);
    std::vector<std::size_t> missing(count);
    std::priority_queue<std::uint32_t, std::vector<std::uint32_t>, std::greater<>> ready;
    for (std::uint32_t i = 0; i < count; ++i) {
        missing[i] = stages[i].after.size();
        for (const std::uint32_t dependency : stages[i].after) {
            if (dependency < count) {
                dependents[dependency].push_back(i);
            }
        }
        if (missing[i] == 0) {
            ready.push(i);
        }
    }
    std::vector<std::uint32_t> order;
    while (!ready.empty()) {
        const std::uint32_t next = ready.top();
        ready.pop();
        order.push_back(next);
        for (const std::uint32_t dependent : dependents[next]) {
            if (--missing[dependent] == 0) {
                ready.push(dependent);
            }
        }
    }
    return order;
}

} // namespace harelink
