//===- explaincommand.cpp - The explain command ---------------------------===//

#include "commands.h"
#include "platform.h"

#include "harelink/Support/error.h"
#include "harelink/Support/logsearch.h"

#include <fmt/format.h>

#include <fstream>

namespace harelink::cli {

int explainCommand(const Words &words)
{
    if (words.size() < 2) {
        fmt::print(stderr, "usage: harelink explain ID LOGFILE...\n");
        return ExitUsage;
    }
    LogSearch search(words[0]);
    for (std::size_t i = 1; i < words.size(); ++i) {
        std::ifstream file(words[i]);
        if (!file) {
            return report(
                makeError(absl::StatusCode::kNotFound, "opening", words[i], "cannot be read"));
        }
        for (std::string line; std::getline(file, line);) {
            search.add(words[i], line);
        }
    }
    bool any = false;
    for (const LogLine &line : search.found()) {
        any = any || line.namesRequest;
        fmt::print("{} {} {} {}\n", line.namesRequest ? '*' : ' ', line.time, line.source,
                   line.text);
    }
    if (!any) {
        return report(makeError(absl::StatusCode::kNotFound, "searching", words[0],
                                "no line names this request"));
    }
    return ExitDone;
}

} // namespace harelink::cli
