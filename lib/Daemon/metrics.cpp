//===- metrics.cpp - Request metrics --------------------------------------===//

#include "harelink/Daemon/metrics.h"

#include <boost/histogram/ostream.hpp>
#include <fmt/format.h>

#include <vector>

namespace harelink {
namespace {

const std::vector<double> &bucketBounds()
{
    static const std::vector<double> seconds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                0.25,  0.5,    1,     2,    4,     8,    16};
    return seconds;
}

template <typename Value>
void renderCounters(const std::string &name, const std::map<std::string, Value> &values,
                    std::string &out)
{
    out += fmt::format("# TYPE {} counter\n", name);
    for (const auto &[labels, value] : values) {
        out += fmt::format("{}{{{}}} {}\n", name, labels, value);
    }
}

void renderHistograms(const std::string &name, const std::map<std::string, SecondsHistogram> &from,
                      std::string &out)
{
    out += fmt::format("# TYPE {} histogram\n", name);
    for (const auto &[labels, histogram] : from) {
        histogram.render(name, labels, out);
    }
}

template <typename Value>
void addAll(std::map<std::string, Value> &to, const std::map<std::string, Value> &from)
{
    for (const auto &[labels, value] : from) {
        to[labels] += value;
    }
}

void mergeAll(std::map<std::string, SecondsHistogram> &to,
              const std::map<std::string, SecondsHistogram> &from)
{
    for (const auto &[labels, histogram] : from) {
        to[labels].merge(histogram);
    }
}

} // namespace

SecondsHistogram::SecondsHistogram()
    : m_counts(boost::histogram::make_histogram(
        boost::histogram::axis::variable<double>(bucketBounds().begin(), bucketBounds().end())))
{
}

void SecondsHistogram::add(Duration time)
{
    const double seconds = std::chrono::duration<double>(time).count();
    m_counts(seconds);
    m_sum += seconds;
}

void SecondsHistogram::merge(const SecondsHistogram &other)
{
    m_counts += other.m_counts;
    m_sum += other.m_sum;
}

void SecondsHistogram::render(const std::string &name, const std::string &labels,
                              std::string &out) const
{
    // Bin -1 is the underflow bin below the first bound; the last bin is the overflow bin.
    double total = 0;
    const auto &upper = bucketBounds();
    for (std::size_t i = 0; i < upper.size(); ++i) {
        total += m_counts.at(static_cast<int>(i) - 1);
        out += fmt::format("{}_bucket{{{},le=\"{}\"}} {}\n", name, labels, upper[i], total);
    }
    total += m_counts.at(static_cast<int>(upper.size()) - 1);
    out += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, total);
    out += fmt::format("{}_sum{{{}}} {}\n", name, labels, m_sum);
    out += fmt::format("{}_count{{{}}} {}\n", name, labels, total);
}

void RequestMetrics::observe(const AnswerCaller &answer)
{
    // Undeclared names are not used as labels, or callers could create any number of time series.
    const bool declared =
        answer.reason != Reason::UnknownPipeline && answer.reason != Reason::UnknownAccount;
    const std::string accountLabels =
        declared ? fmt::format("pipeline=\"{}\",account=\"{}\"", answer.pipeline, answer.account)
                 : std::string("pipeline=\"\",account=\"\"");
    ++m_requests[fmt::format("{},outcome=\"{}\",reason=\"{}\"", accountLabels,
                             toText(answer.outcome), toText(answer.reason))];
    const bool attained = answer.outcome == Outcome::Completed && answer.elapsed <= answer.allowed;
    m_attained[accountLabels] += attained ? 1 : 0;
    m_requestSeconds[accountLabels].add(answer.elapsed);
    if (answer.tokens > 0) {
        m_firstTokenSeconds[accountLabels].add(answer.timeToFirstChunk);
    }
    if (answer.proxied) {
        ++m_answersByFraming[fmt::format("framing=\"{}\",status=\"{}xx\"",
                                         toText(answer.proxied->framing),
                                         answer.proxied->status / 100)];
    }
    for (const StageCost &cost : answer.costs) {
        const std::string stageLabels = fmt::format("{},stage=\"{}\"", accountLabels, cost.stage);
        m_cost[stageLabels] += cost.cost;
        m_stageSeconds[stageLabels].add(cost.elapsed);
    }
}

void RequestMetrics::merge(const RequestMetrics &other)
{
    addAll(m_requests, other.m_requests);
    addAll(m_attained, other.m_attained);
    addAll(m_cost, other.m_cost);
    addAll(m_answersByFraming, other.m_answersByFraming);
    mergeAll(m_stageSeconds, other.m_stageSeconds);
    mergeAll(m_requestSeconds, other.m_requestSeconds);
    mergeAll(m_firstTokenSeconds, other.m_firstTokenSeconds);
}

void RequestMetrics::render(std::string &out) const
{
    renderCounters("harelink_requests_total", m_requests, out);
    renderCounters("harelink_requests_attained_total", m_attained, out);
    renderCounters("harelink_stage_cost_total", m_cost, out);
    renderCounters("harelink_endpoint_answers_total", m_answersByFraming, out);
    renderHistograms("harelink_stage_seconds", m_stageSeconds, out);
    renderHistograms("harelink_request_seconds", m_requestSeconds, out);
    renderHistograms("harelink_first_token_seconds", m_firstTokenSeconds, out);
}

void renderValue(const std::string &name, std::string_view type, double value, std::string &out)
{
    out += fmt::format("# TYPE {} {}\n{} {}\n", name, type, name, value);
}

void renderByClass(const std::string &name,
                   const std::array<std::size_t, priorityClassCount> &counts, std::string &out)
{
    out += fmt::format("# TYPE {} gauge\n", name);
    for (std::size_t i = 0; i < counts.size(); ++i) {
        out += fmt::format("{}{{class=\"{}\"}} {}\n", name, i, counts[i]);
    }
}

} // namespace harelink
