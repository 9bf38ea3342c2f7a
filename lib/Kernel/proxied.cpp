//===- proxied.cpp - Proxied requests and answers -------------------------===//

#include "harelink/Kernel/proxied.h"

namespace harelink {

std::string_view toText(AnswerFraming framing)
{
    switch (framing) {
    case AnswerFraming::Connection:
        return "connection";
    case AnswerFraming::Length:
        return "length";
    case AnswerFraming::Chunks:
        return "chunks";
    }
    return "unknown";
}

} // namespace harelink
