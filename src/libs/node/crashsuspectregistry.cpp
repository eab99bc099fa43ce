#include "crashsuspectregistry.h"

#include "fleetnode.h"

#include <links/linkchannel.h>
#include <links/linkserver.h>
#include <net/reactor.h>
#include <protocol/codec.h>
#include <utils/jsonfield.h>
#include <utils/wallclock.h>

namespace Node {

using nlohmann::json;

const std::string strikeItemPrefix = "strike/";

namespace {

auto strikeEdit(const std::vector<std::string> &fingerprints, const std::string &crash)
{
    return [fingerprints, crash](const Control::ControlState &state)
               -> Utils::Result<Storage::ControlEdit, std::string> {
        Storage::ControlEdit edit;
        for (const auto &fingerprint : fingerprints) {
            const std::string key = strikeItemPrefix + fingerprint;
            const auto *known = state.item(key);
            json crashes =
                known ? Utils::fieldOr(known->value, "crashes", json::array()) : json::array();
            crashes.push_back(crash);
            edit.puts[key] = {{"crashes", crashes}, {"at", Utils::wallClock().count()}};
        }
        return edit;
    };
}

} // namespace

CrashSuspectRegistry::CrashSuspectRegistry(FleetNode &node)
    : m_node(node)
{
    node.setHandler(Protocol::Path::strike, [this](const auto &exchange) {
        handlePeerReport(exchange->body());
        exchange->finish();
    });
    node.onChanged([this] { applyControlState(); });
}

auto CrashSuspectRegistry::suspects() -> Routing::CrashSuspects &
{
    return m_suspects;
}

auto CrashSuspectRegistry::report(const std::vector<std::string> &fingerprints,
                                  const std::string &crash) -> void
{
    if (fingerprints.empty())
        return;
    for (const auto &fingerprint : fingerprints)
        m_suspects.recordCrash(fingerprint, crash, m_node.reactor().now());
    const std::string message =
        Protocol::encode({{"fingerprints", fingerprints}, {"crash", crash}});
    broadcast(message);
    m_node.propose({m_node.settings().name, "crash " + crash, strikeEdit(fingerprints, crash)},
                   [](const auto &) {});
}

auto CrashSuspectRegistry::clearSuspect(const std::string &fingerprint) -> void
{
    if (m_suspects.suspicionOf(fingerprint, m_node.reactor().now()) == Routing::Suspicion::None)
        return;
    m_suspects.noteFinished(fingerprint);
    broadcast(Protocol::encode({{"acquitted", fingerprint}}));
    const auto edit = [key = strikeItemPrefix + fingerprint](const Control::ControlState &state)
        -> Utils::Result<Storage::ControlEdit, std::string> {
        Storage::ControlEdit result;
        if (state.item(key))
            result.deletes.push_back(key);
        return result;
    };
    m_node.propose({m_node.settings().name, "acquitted", edit}, [](const auto &) {});
}

auto CrashSuspectRegistry::broadcast(const std::string &message) -> void
{
    for (const auto &[name, instance] : m_node.state().registry()) {
        if (name != m_node.settings().name)
            m_node.channelTo(instance.address)
                .call(
                    Protocol::Path::strike, message, [](const auto &) {},
                    [](Links::LinkOutcome) {});
    }
}

auto CrashSuspectRegistry::handlePeerReport(const std::string &body) -> void
{
    const auto message = Protocol::decode(body);
    if (!message || !message->is_object())
        return;
    if (message->contains("acquitted"))
        m_suspects.noteFinished(Utils::fieldOr(*message, "acquitted", ""));
    for (const auto &fingerprint :
         Utils::fieldOr(*message, "fingerprints", std::vector<std::string>()))
        m_suspects.recordCrash(fingerprint, Utils::fieldOr(*message, "crash", ""),
                               m_node.reactor().now());
}

auto CrashSuspectRegistry::applyControlState() -> void
{
    const auto &state = m_node.state();
    if (state.revision() == m_seenRevision)
        return;
    for (const auto &[fingerprint, item] : state.itemsUnder(strikeItemPrefix)) {
        if (item->revision <= m_seenRevision)
            continue;
        for (const auto &crash : Utils::fieldOr(item->value, "crashes", std::vector<std::string>()))
            m_suspects.recordCrash(fingerprint, crash, m_node.reactor().now());
    }
    m_seenRevision = state.revision();
}

} // namespace Node
