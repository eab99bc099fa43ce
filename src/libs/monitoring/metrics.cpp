#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>

namespace Monitoring {

auto metricCatalogue() -> const std::vector<MetricDescription> &
{
    static const std::vector<MetricDescription> catalogue = {
        {"acacia_requests_total", "counter", "Requests that callers sent."},
        {"acacia_answers_total", "counter", "Requests that got a whole answer."},
        {"acacia_refusals_total", "counter", "Requests refused, by reason."},
        {"acacia_retries_total", "counter",
         "Attempts repeated at another backend server or connection, by reason."},
        {"acacia_permits_total", "counter",
         "Permits to send to backend servers that named a limit, by result."},
        {"acacia_stream_origins_total", "counter",
         "Streams that were taken up, by how the version that began them was found."},
        {"acacia_sent_late_total", "counter",
         "Requests sent to a backend server after their latency objective, by route."},
        {"acacia_early_refusals_total", "counter",
         "Waiting requests refused before their time was over, by reason."},
        {"acacia_waiting_requests", "gauge", "Requests that wait at this gateway, by route."},
        {"acacia_longest_wait_seconds", "gauge",
         "Longest time that one of the waiting requests has waited at this gateway."},
        {"acacia_entries_rejected_total", "counter",
         "Entries of servers that could not be read and were left out."},
        {"acacia_cross_domain_requests_total", "counter",
         "Requests sent to backend servers in another failure domain, by service."},
        {"acacia_cross_domain_bytes_total", "counter",
         "Bytes of these requests and of their answers, by service."},
        {"acacia_cross_domain_share", "gauge",
         "Share of a service's requests that may leave the failure domain at the plain cost while "
         "its servers are heavily used; 0 while nothing is limited."},
        {"acacia_request_seconds", "histogram", "Time from a request's arrival to its last byte."},
        {"acacia_first_byte_seconds", "histogram",
         "Time from a request's arrival to the answer's first byte."},
        {"acacia_cold_start_seconds", "histogram",
         "Time from the first request for a sleeping model to its being ready."},
        {"acacia_control_revision", "gauge", "Revision of the control state in force here."},
        {"acacia_control_age_seconds", "gauge",
         "Age of the latest proof that the control state is fresh."},
        {"acacia_configuration_version", "gauge",
         "Version of the configuration in force at this gateway."},
        {"acacia_configuration_age_seconds", "gauge",
         "Time since the store last confirmed that configuration; -1 before the first time."},
        {"acacia_store_era", "gauge",
         "How often the platform's store has come back from a copy, as it says."},
        {"acacia_client_memory_bytes", "gauge", "Memory accounted to clients' connections."},
        {"acacia_client_connections", "gauge", "Open connections of clients, at all addresses."},
        {"acacia_connections_shed", "gauge",
         "Connections given up since the start, as a limit on resources was exceeded."},
        {"acacia_loop_delay_seconds", "gauge",
         "Longest time that the event loop stood still since the last scrape."},
        {"acacia_evacuated_domains", "gauge",
         "Failure domains that the operators evacuate, as this gateway knows."},
        {"acacia_cold_servers", "gauge", "Backend servers that count as cold at this gateway."},
        {"acacia_cold_sends_total", "counter", "Requests sent to cold backend servers."},
        {"acacia_store_reads_total", "counter",
         "Reads of the control state from the store, by result."},
        {"acacia_peer_pulls_total", "counter", "Pulls of the control state from peers, by result."},
        {"acacia_queue_length", "gauge", "Requests that wait at this agent."},
        {"acacia_running_requests", "gauge", "Requests that run at this agent's backend server."},
        {"acacia_loads_total", "counter", "Model loads ordered, by result."},
        {"acacia_unloads_total", "counter", "Model unloads ordered, by result."},
        {"acacia_memory_used_bytes", "gauge",
         "Backend server memory reserved in this agent's ledger."},
        {"acacia_contract_transfers_total", "counter",
         "Parts of contracts given to other entries."},
        {"acacia_link_replacements_total", "counter",
         "Connections replaced because they went silent."},
        {"acacia_engine_crashes_total", "counter", "Backend server crashes noticed."},
    };
    return catalogue;
}

namespace {

auto helpOf(const std::string &name) -> std::string
{
    const auto &all = metricCatalogue();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&name](const auto &entry) { return entry.name == name; });
    return found == all.end() ? std::string() : found->meaning;
}

} // namespace

struct Metrics::Private
{
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string, prometheus::Histogram *> histograms;

    auto counter(const std::string &name) -> prometheus::Family<prometheus::Counter> &
    {
        auto *&family = counters[name];
        if (!family)
            family = &prometheus::BuildCounter().Name(name).Help(helpOf(name)).Register(*registry);
        return *family;
    }

    auto gauge(const std::string &name) -> prometheus::Family<prometheus::Gauge> &
    {
        auto *&family = gauges[name];
        if (!family)
            family = &prometheus::BuildGauge().Name(name).Help(helpOf(name)).Register(*registry);
        return *family;
    }

    auto histogram(const std::string &name) -> prometheus::Histogram &
    {
        static const prometheus::Histogram::BucketBoundaries seconds = {
            0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.41, 1, 2, 5, 10, 20, 40};
        auto *&histogram = histograms[name];
        if (!histogram) {
            auto &family =
                prometheus::BuildHistogram().Name(name).Help(helpOf(name)).Register(*registry);
            histogram = &family.Add({}, seconds);
        }
        return *histogram;
    }
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{ }

Metrics::~Metrics() = default;

auto Metrics::count(const std::string &name, const std::map<std::string, std::string> &labels,
                    double amount) -> void
{
    d->counter(name).Add(labels).Increment(amount);
}

auto Metrics::set(const std::string &name, double value,
                  const std::map<std::string, std::string> &labels) -> void
{
    d->gauge(name).Add(labels).Set(value);
}

auto Metrics::observe(const std::string &name, double seconds) -> void
{
    d->histogram(name).Observe(seconds);
}

auto Metrics::text() const -> std::string
{
    return prometheus::TextSerializer().Serialize(d->registry->Collect());
}

} // namespace Monitoring
