#include "leavingnotifier.h"

#include "backendregistry.h"

#include <utils/eventlog.h>
#include <utils/jsonfield.h>

#include <nlohmann/json.hpp>

namespace Gateway {

namespace {

const char *const LeavingKind = "leaving";

} // namespace

LeavingNotifier::LeavingNotifier(BackendRegistry &registry, Events events)
    : m_registry(registry)
    , m_events(std::move(events))
{ }

auto LeavingNotifier::noteAnswer(const std::string &id, std::int64_t startedAtMs) -> void
{
    if (recordLeaving(id, startedAtMs, "answer"))
        m_events.broadcast({{"kind", LeavingKind}, {"server", id}, {"started", startedAtMs}});
}

auto LeavingNotifier::handleMessage(const nlohmann::json &message) -> bool
{
    if (Utils::fieldOr(message, "kind", std::string()) != LeavingKind)
        return false;
    const auto id = Utils::fieldOr(message, "server", std::string());
    if (!id.empty())
        recordLeaving(id, Utils::fieldOr(message, "started", std::int64_t(0)), "gateway");
    return true;
}

auto LeavingNotifier::recordLeaving(const std::string &id, std::int64_t startedAtMs,
                                    const char *source) -> bool
{
    if (!m_registry.noteLeaving(id, startedAtMs))
        return false;
    Utils::logEvent(Utils::Event::BackendLeaving,
                    {{"server", id}, {"startedAtMs", startedAtMs}, {"source", source}});
    m_events.onLeaving(id);
    return true;
}

} // namespace Gateway
