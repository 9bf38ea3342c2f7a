//===- platform.cpp - Calls to the object API -----------------------------===//

#include "harelink/Kernel/platform.h"

namespace harelink {

std::string_view toText(PlatformOperation operation)
{
    switch (operation) {
    case PlatformOperation::Get:
        return "get";
    case PlatformOperation::Put:
        return "put";
    case PlatformOperation::Delete:
        return "delete";
    case PlatformOperation::List:
        return "list";
    case PlatformOperation::Watch:
        return "watch";
    case PlatformOperation::Hosts:
        return "hosts";
    }
    return "unknown";
}

std::string_view toText(PlatformOutcome outcome)
{
    switch (outcome) {
    case PlatformOutcome::Ok:
        return "ok";
    case PlatformOutcome::Conflict:
        return "conflict";
    case PlatformOutcome::NotFound:
        return "not-found";
    case PlatformOutcome::Gone:
        return "gone";
    case PlatformOutcome::Refused:
        return "refused";
    case PlatformOutcome::Unanswered:
        return "silent";
    }
    return "unknown";
}

} // namespace harelink
