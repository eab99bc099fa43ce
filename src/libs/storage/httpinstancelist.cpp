#include "httpinstancelist.h"

#include <net/httpclient.h>

#include <nlohmann/json.hpp>

namespace Storage {

using nlohmann::json;

namespace {

auto statusFrom(const std::string &word) -> InstanceStatus
{
    if (word == "leaving")
        return InstanceStatus::Leaving;
    return word == "gone" ? InstanceStatus::Gone : InstanceStatus::Live;
}

auto parse(const std::string &body) -> Utils::Result<InstanceStatuses, std::string>
{
    try {
        InstanceStatuses statuses;
        const json document = json::parse(body);
        for (const auto &[name, word] : document.at("instances").items())
            statuses[name] = statusFrom(word.get<std::string>());
        return statuses;
    } catch (const json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace

HttpInstanceList::HttpInstanceList(Net::HttpClient &client, const std::string &address)
    : m_client(client)
    , m_url("http://" + address + "/instances")
{ }

auto HttpInstanceList::read(Callback done) -> void
{
    Net::HttpCall call;
    call.url = m_url;
    m_client.start(std::move(call), [done = std::move(done)](const auto &outcome) {
        if (outcome.isSuccess())
            done(parse(outcome.body));
        else
            done(tl::unexpected(outcome.error.empty() ? "status " + std::to_string(outcome.status)
                                                      : outcome.error));
    });
}

} // namespace Storage
