//===- harelink/Daemon/metrics.h - Request metrics --------------*- C++ -*-===//
///
/// \file
/// Counters and histograms of the requests of a worker, rendered as Prometheus
/// text. Each worker has its own metrics; they are merged for each scrape.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_METRICS_H
#define HARELINK_DAEMON_METRICS_H

#include "harelink/Kernel/requestmachine.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace harelink {

/// A histogram of durations in seconds.
class SecondsHistogram
{
public:
    SecondsHistogram();
    void add(Duration time);
    void merge(const SecondsHistogram &other);
    /// Appends the lines of one Prometheus histogram.
    void render(const std::string &name, const std::string &labels, std::string &out) const;

private:
    using Axes = std::tuple<boost::histogram::axis::variable<double>>;
    boost::histogram::histogram<Axes> m_counts;
    double m_sum = 0;
};

/// Counters and histograms of answered requests.
class RequestMetrics
{
public:
    /// Records the answer to one request.
    void observe(const AnswerCaller &answer);
    /// Adds the metrics of another worker.
    void merge(const RequestMetrics &other);
    /// Appends all metrics as Prometheus text.
    void render(std::string &out) const;

private:
    std::map<std::string, std::uint64_t> m_requests;         // By labels.
    std::map<std::string, std::uint64_t> m_attained;         // Completed within the deadline.
    std::map<std::string, double> m_cost;                    // By stage and account.
    std::map<std::string, std::uint64_t> m_answersByFraming; // Of proxied requests.
    std::map<std::string, SecondsHistogram> m_stageSeconds;
    std::map<std::string, SecondsHistogram> m_requestSeconds;
    std::map<std::string, SecondsHistogram> m_firstTokenSeconds; // Of streams only.
};

/// Appends one counter or gauge without labels.
void renderValue(const std::string &name, std::string_view type, double value, std::string &out);

/// Appends one gauge for each priority class.
void renderByClass(const std::string &name,
                   const std::array<std::size_t, priorityClassCount> &counts, std::string &out);

} // namespace harelink

#endif // HARELINK_DAEMON_METRICS_H
