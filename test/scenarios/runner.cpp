//===- runner.cpp - Scenario runner ---------------------------------------===//
///
/// \file
/// harelink-scenario FILE...: runs each file in a simulation of its own and fails if
/// an expectation is not met. A line is one of
///
///   at TIME COMMAND         where TIME is as in "250ms" or "4s"
///   expect WHAT             checked after all commands and settling
///   # a comment
///
/// The commands:
///
///   send N answers to HOST           N repeatable requests
///   send record KEY to HOST          a request that may not be repeated
///   send crashing answer NAME to HOST   a request that crashes each endpoint that runs
///                                    it; the same NAME sends the same request again
///   send crashing record NAME to HOST   the same, but it may not be repeated
///   kill HOST | start HOST | freeze HOST | thaw HOST | drain HOST
///   kill endpoint NAME | leave endpoint NAME
///   cut PLACE from PLACE | heal      a host may be cut from "endpoints"
///   platform out | platform silent | platform back
///   platform loses answers | platform applies late
///   weigh ACCOUNT NUMBER             an operator changes the account's weight
///   copy store | restore store       the store returns from the copy
///
/// The expectations:
///
///   no violations | converged
///   OUTCOME at least N | OUTCOME at most N | OUTCOME exactly N
///   runs of KEY exactly N
///   crashes under NAME at most N
///
//===----------------------------------------------------------------------===//

#include "world.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <fstream>

namespace {

using namespace harelink;
using namespace harelink::sim;
using Words = std::vector<std::string>;

constexpr std::uint64_t scenarioSeed = 7;
constexpr std::chrono::milliseconds requestDeadline{1000};
/// Time to settle after the last command.
constexpr std::chrono::seconds settleTime{8};

int parseNumber(const std::string &word)
{
    int number = 0;
    return absl::SimpleAtoi(word, &number) ? number : -1;
}

/// Parses a time such as "250ms" or "4s".
std::optional<Duration> parseDuration(const std::string &word)
{
    const std::size_t unit = word.find_first_not_of("0123456789");
    const int number = parseNumber(word.substr(0, unit));
    if (unit == std::string::npos || number < 0) {
        return std::nullopt;
    }
    if (word.substr(unit) == "ms") {
        return std::chrono::milliseconds(number);
    }
    if (word.substr(unit) == "s") {
        return std::chrono::seconds(number);
    }
    return std::nullopt;
}

class Scenario
{
public:
    /// Runs the scenario in \p path; returns false if it is invalid or an expectation fails.
    bool run(const std::string &path)
    {
        std::ifstream file(path);
        std::string line;
        int number = 0;
        bool succeeded = static_cast<bool>(file);
        std::vector<Words> expectations;
        while (succeeded && std::getline(file, line)) {
            ++number;
            const Words words = absl::StrSplit(line, ' ', absl::SkipEmpty());
            if (words.empty() || words[0] == "#") {
                continue;
            }
            if (words[0] == "expect") {
                expectations.emplace_back(words.begin() + 1, words.end());
                continue;
            }
            succeeded = executeLine(words);
            if (!succeeded) {
                fmt::print("{}:{}: cannot be read: {}\n", path, number, line);
            }
        }
        if (!succeeded || expectations.empty()) {
            fmt::print("{}: not a scenario with expectations\n", path);
            return false;
        }
        m_world.run(settleTime);
        m_world.checks().finish();
        for (const Words &expectation : expectations) {
            succeeded = checkExpectation(expectation, path) && succeeded;
        }
        fmt::print("{} {}\n", succeeded ? "passed" : "FAILED", path);
        return succeeded;
    }

private:
    bool executeLine(const Words &words)
    {
        const std::optional<Duration> time =
            words.size() > 2 && words[0] == "at" ? parseDuration(words[1]) : std::nullopt;
        if (!time || *time < m_world.queue().elapsed()) {
            return false;
        }
        m_world.run(*time - m_world.queue().elapsed());
        return command(Words(words.begin() + 2, words.end()));
    }

    bool command(const Words &words)
    {
        const std::string &verb = words[0];
        if (verb == "send") {
            return send(words);
        }
        if (verb == "platform" && words.size() >= 2) {
            return platform(words);
        }
        if (verb == "cut" && words.size() == 4) {
            m_world.cuts().cut(words[1], words[3]);
            return true;
        }
        if (verb == "heal") {
            m_world.healAll();
            return true;
        }
        if (words == Words{"copy", "store"}) {
            m_world.copyStore();
            return true;
        }
        if (words == Words{"restore", "store"}) {
            m_world.restoreStore();
            return true;
        }
        if (verb == "weigh" && words.size() == 3) {
            m_world.changeWeight(words[1], parseNumber(words[2]));
            return true;
        }
        return words.size() == 3 ? executeOnEndpoint(words) : executeOnHost(words);
    }

    bool send(const Words &words)
    {
        if (words.size() == 6 && words[1] == "crashing") {
            return sendCrashing(words[2], words[3], words[5]);
        }
        if (words.size() != 5) {
            return false;
        }
        if (words[1] == "record") {
            m_world.submit(words[4], "record", words[2], words[2], requestDeadline);
            return true;
        }
        for (int i = 0; i < parseNumber(words[1]); ++i) {
            m_world.submit(words[4], "answer", fmt::format("q{}", ++m_bodies), "", requestDeadline);
        }
        return words[2] == "answers";
    }

    bool sendCrashing(const std::string &pipeline, const std::string &name, const std::string &host)
    {
        // Each attempt of the caller uses a new idempotency key.
        const bool isRecord = pipeline == "record";
        const std::string key = isRecord ? fmt::format("{}-{}", name, ++m_bodies) : std::string();
        m_world.submit(host, pipeline, "crash " + name, key, requestDeadline);
        return isRecord || pipeline == "answer";
    }

    bool platform(const Words &words)
    {
        FakePlatform::Faults &faults = m_world.platform().faults();
        if (words[1] == "out" || words[1] == "silent" || words[1] == "back") {
            faults = {};
            faults.outage = words[1] != "back";
            faults.silent = words[1] == "silent";
            return true;
        }
        if (words[1] == "loses") {
            faults.loseAnswers = 1;
            return true;
        }
        if (words[1] == "applies") {
            faults.applyLate = 1;
            return true;
        }
        return false;
    }

    bool executeOnEndpoint(const Words &words)
    {
        if (words[1] != "endpoint" || !m_world.endpoints().contains(words[2])) {
            return false;
        }
        if (words[0] == "kill") {
            m_world.killEndpoint(words[2]);
            return true;
        }
        if (words[0] == "leave") {
            m_world.markEndpointLeaving(words[2]);
            return true;
        }
        return false;
    }

    bool executeOnHost(const Words &words)
    {
        if (words.size() != 2) {
            return false;
        }
        static const std::map<std::string, void (World<AllGuards>::*)(const std::string &)> verbs =
            {{"kill", &World<AllGuards>::killHost},
             {"start", &World<AllGuards>::startHost},
             {"freeze", &World<AllGuards>::freeze},
             {"thaw", &World<AllGuards>::thaw},
             {"drain", &World<AllGuards>::drainHost}};
        const auto found = verbs.find(words[0]);
        if (found == verbs.end()) {
            return false;
        }
        (m_world.*found->second)(words[1]);
        return true;
    }

    bool checkExpectation(const Words &words, const std::string &path)
    {
        if (words == Words{"no", "violations"}) {
            for (const std::string &line : m_world.checks().violations()) {
                fmt::print("{}: {}\n", path, line);
            }
            return m_world.checks().violations().empty();
        }
        if (words == Words{"converged"}) {
            return m_world.converged();
        }
        if (words.size() == 5 && words[0] == "runs") {
            const auto &runs = m_world.checks().ledger().runsByKey;
            const auto found = runs.find(words[2]);
            return compare(found == runs.end() ? 0 : found->second, words[3], words[4], words[2],
                           path);
        }
        if (words.size() == 6 && words[0] == "crashes") {
            return compare(m_world.checks().crashCount("crash " + words[2]), words[4], words[5],
                           words[2], path);
        }
        if (words.size() == 4 && words[1] == "at") {
            return compare(count(words[0]), words[2], words[3], words[0], path);
        }
        return words.size() == 3 && compare(count(words[0]), words[1], words[2], words[0], path);
    }

    int count(const std::string &outcome)
    {
        const auto &outcomes = m_world.checks().outcomes();
        const auto found = outcomes.find(outcome);
        return found == outcomes.end() ? 0 : found->second;
    }

    static bool compare(int actual, const std::string &relation, const std::string &bound,
                        const std::string &what, const std::string &path)
    {
        const int number = parseNumber(bound);
        const bool succeeded = (relation == "exactly" && actual == number)
                               || (relation == "least" && actual >= number)
                               || (relation == "most" && actual <= number);
        if (!succeeded) {
            fmt::print("{}: {} is {}, expected {} {}\n", path, what, actual, relation, bound);
        }
        return succeeded;
    }

    World<AllGuards> m_world{scenarioSeed, 4, 2};
    int m_bodies = 0;
};

} // namespace

int main(int argc, char **argv)
{
    int failed = argc < 2 ? 1 : 0;
    for (int i = 1; i < argc; ++i) {
        Scenario scenario;
        failed += scenario.run(argv[i]) ? 0 : 1;
    }
    fmt::print("{} passed, {} failed\n", argc - 1 - failed, failed);
    return failed == 0 ? 0 : 1;
}
