#include "report.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>

namespace Load {

using nlohmann::json;
using Microseconds = std::chrono::microseconds;

namespace {

auto seconds(Microseconds duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

auto percentile(std::vector<double> values, double fraction) -> json
{
    if (values.empty())
        return nullptr;
    const auto at = std::lround(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<size_t>(at)];
}

auto percentiles(const std::vector<double> &values) -> json
{
    return {{"count", values.size()},
            {"p50", percentile(values, 0.5)},
            {"p95", percentile(values, 0.95)},
            {"p99", percentile(values, 0.99)}};
}

/// Models a contract as a token bucket to tell which requests were within its rate and burst.
class ContractModel
{
public:
    explicit ContractModel(const CustomerShape &shape)
        : m_shape(shape)
        , m_level(shape.contractBurst)
    { }

    auto isWithinContract(Microseconds at, double tokens) -> bool
    {
        m_level = std::min(m_shape.contractBurst,
                           m_level + m_shape.contractRate * seconds(at - m_lastRefill));
        m_lastRefill = at;
        if (tokens > m_level)
            return false;
        m_level -= tokens;
        return true;
    }

private:
    const CustomerShape &m_shape;
    double m_level;
    Microseconds m_lastRefill{0};
};

/// Counts of one customer's requests and their results.
struct CustomerTally
{
    int sent = 0;
    int answered = 0;
    int withinContract = 0;
    std::vector<double> firstBytes;

    /// Number of requests that the contract allowed but that were not served. The entries choose
    /// which requests of a customer over its rate they refuse, so only the numbers are compared.
    auto refusedWithinContract() const -> int { return std::max(0, withinContract - answered); }
    /// Share of the requests allowed by the contract that were served.
    auto servedShare() const -> double
    {
        return withinContract == 0 ? 1.0 : static_cast<double>(answered) / withinContract;
    }
};

auto promptTokens(const Arrival &arrival) -> double
{
    constexpr size_t promptOverheadBytes = 24;
    const size_t tokens = (arrival.model.size() + promptOverheadBytes) / 4;
    return static_cast<double>(tokens);
}

auto customerJson(const CustomerTally &tally) -> json
{
    return {{"sent", tally.sent},
            {"answered", tally.answered},
            {"insideRate", tally.withinContract},
            {"refusedInsideRate", tally.refusedWithinContract()},
            {"servedShare", std::min(1.0, tally.servedShare())},
            {"firstByteSeconds", percentiles(tally.firstBytes)}};
}

auto worstServedCustomer(const std::map<std::string, CustomerTally> &tallies) -> json
{
    const auto worst =
        std::min_element(tallies.begin(), tallies.end(), [](const auto &a, const auto &b) {
            return a.second.servedShare() < b.second.servedShare();
        });
    json body = customerJson(worst->second);
    body["name"] = worst->first;
    return body;
}

} // namespace

auto makeReport(const LoadShape &shape, const std::vector<RequestRecord> &records) -> json
{
    std::map<std::string, CustomerTally> tallies;
    std::map<std::string, int> refusals;
    std::vector<ContractModel> contracts(shape.customers.begin(), shape.customers.end());
    std::vector<double> firstBytes;
    std::vector<double> coldStarts;
    int wrongAnswers = 0;
    int lostRequests = 0;
    int withoutRetryAfter = 0;
    int withinContract = 0;
    int refusedWithinContract = 0;
    for (const auto &record : records) {
        auto &tally = tallies[shape.customers[record.arrival.customer].name];
        const double tokens = promptTokens(record.arrival) + shape.maxTokens;
        const bool isWithinContract =
            contracts[record.arrival.customer].isWithinContract(record.arrival.at, tokens);
        const bool isAnswered = record.isComplete;
        tally.sent += 1;
        tally.answered += isAnswered ? 1 : 0;
        tally.withinContract += isWithinContract ? 1 : 0;
        withinContract += isWithinContract ? 1 : 0;
        lostRequests += record.isLost ? 1 : 0;
        wrongAnswers += !record.isLost && record.refusalCode.empty() && !record.isComplete ? 1 : 0;
        if (!record.refusalCode.empty()) {
            refusals[record.refusalCode] += 1;
            withoutRetryAfter += record.hasRetryAfter || record.status < 429 ? 0 : 1;
        }
        if (!isAnswered || !record.firstByte)
            continue;
        tally.firstBytes.push_back(seconds(*record.firstByte));
        firstBytes.push_back(seconds(*record.firstByte));
        if (*record.firstByte >= shape.coldThreshold)
            coldStarts.push_back(seconds(*record.firstByte));
    }
    json customers = json::object();
    for (const auto &[name, tally] : tallies) {
        customers[name] = customerJson(tally);
        refusedWithinContract += tally.refusedWithinContract();
    }
    return {
        {"sent", records.size()},
        {"wrongAnswers", wrongAnswers},
        {"neitherAnswerNorRefusal", lostRequests},
        {"refusals", refusals},
        {"refusalsWithoutRetryAfter", withoutRetryAfter},
        {"firstByteSeconds", percentiles(firstBytes)},
        {"coldStartSeconds", percentiles(coldStarts)},
        {"insideRate", withinContract},
        {"refusedInsideRate", refusedWithinContract},
        {"refusedInsideRatePart",
         withinContract == 0 ? 0.0 : static_cast<double>(refusedWithinContract) / withinContract},
        {"worstServed", worstServedCustomer(tallies)},
        {"customers", customers}};
}

auto reportTable(const json &report) -> std::string
{
    std::ostringstream table;
    const auto line = [&table](const std::string &name, const json &value) {
        table << name << '\t' << value.dump() << '\n';
    };
    for (const auto *name : {"sent", "wrongAnswers", "neitherAnswerNorRefusal", "refusals",
                             "refusalsWithoutRetryAfter", "firstByteSeconds", "coldStartSeconds",
                             "insideRate", "refusedInsideRate", "refusedInsideRatePart"})
        line(name, report[name]);
    for (const auto &[name, customer] : report["customers"].items()) {
        table << name << "\tsent " << customer["sent"] << "\tanswered " << customer["answered"]
              << "\tshare " << customer["servedShare"] << "\tp99 "
              << customer["firstByteSeconds"]["p99"] << '\n';
    }
    return table.str();
}

auto plotScript(const std::string &dataFile, const std::string &imageFile) -> std::string
{
    return "set terminal png size 900,500\nset output '" + imageFile
        + "'\nset xlabel 'time to the first byte [s]'\nset ylabel 'part of the requests'\nset "
          "logscale x\nset grid\n"
          "stats '"
        + dataFile + "' nooutput\nplot '" + dataFile
        + "' using 1:(1.0/STATS_records) smooth cumulative title 'answered requests' with lines\n";
}

} // namespace Load
