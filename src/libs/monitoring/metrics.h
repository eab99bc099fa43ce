#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Monitoring {

/// One metric's name, kind and meaning, as docs/METRICS.md lists them.
struct MetricDescription
{
    std::string name;
    std::string kind; ///< "counter", "gauge" or "histogram".
    std::string meaning;
};

auto metricCatalogue() -> const std::vector<MetricDescription> &;

/// The process's counters, gauges and histograms (prometheus-cpp). Names come from the catalogue.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    auto count(const std::string &name, const std::map<std::string, std::string> &labels = {},
               double amount = 1) -> void;
    auto set(const std::string &name, double value,
             const std::map<std::string, std::string> &labels = {}) -> void;
    /// Records a time in seconds.
    auto observe(const std::string &name, double seconds) -> void;
    /// All metrics in the text format that scrapers read.
    auto text() const -> std::string;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Monitoring
