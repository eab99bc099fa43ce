#include "placementlease.h"

#include <utils/boottime.h>
#include <utils/jsonfield.h>
#include <utils/jsontext.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace Gateway {

using nlohmann::json;

namespace {

/// An era adds more to a fencing token than the writes that a copy of the store may lack take away.
constexpr int FenceEraShift = 32;

/// Number in the row of a tenure that begins with that row, whose version its writer doesn't know.
constexpr std::uint64_t OwnVersion = 0;

auto fenceOf(const Utils::StoreVersion &tenure) -> std::uint64_t
{
    return (static_cast<std::uint64_t>(tenure.era) << FenceEraShift) + tenure.number;
}

auto tenureToJson(const std::optional<Utils::StoreVersion> &tenure) -> json
{
    const auto named = tenure.value_or(Utils::StoreVersion{{}, OwnVersion});
    return {{"era", named.era}, {"number", named.number}};
}

/// Earlier software doesn't write the tenure. One that is newer than the row is an error.
auto tenureFromJson(const json &value, const Utils::StoreVersion &rowVersion)
    -> std::optional<Utils::StoreVersion>
{
    const auto found = value.is_object() ? value.find("tenure") : value.end();
    if (found == value.end() || !found->is_object() || !found->contains("number"))
        return {};
    const Utils::StoreVersion tenure = {
        Utils::StoreEra(Utils::fieldOr(*found, "era", std::uint64_t(0))),
        Utils::fieldOr(*found, "number", std::numeric_limits<std::uint64_t>::max())};
    if (tenure.number == OwnVersion)
        return rowVersion;
    // Its token must be lower than that of each later holder, also if its era is earlier.
    const bool isPossible = tenure <= rowVersion && fenceOf(tenure) <= fenceOf(rowVersion);
    return isPossible ? std::optional(tenure) : std::nullopt;
}

} // namespace

PlacementLease::PlacementLease(RowStore &store, std::string table, std::string name,
                               const Http1::SocketAddress &address,
                               const Membership::LeaseTiming &timing, Events events)
    : m_store(store)
    , m_table(std::move(table))
    , m_name(std::move(name))
    , m_address(address)
    , m_lease(m_name, timing)
    , m_events(std::move(events))
{ }

auto PlacementLease::tick() -> void
{
    switch (m_lease.tick(Utils::bootTime())) {
    case Membership::LeaseStep::Nothing:
        return;
    case Membership::LeaseStep::Read:
        return read();
    case Membership::LeaseStep::Write:
        return write();
    }
}

auto PlacementLease::read() -> void
{
    m_store.list(m_table, Key, nullptr, [self = shared_from_this()](const auto &answer) {
        if (self->m_isStopped)
            return;
        self->noteStoreAvailability(answer.has_value());
        if (!answer)
            return self->m_lease.handleFailure();
        self->m_events.onAnswer(answer->version.era);
        for (const Row &row : answer->rows) {
            if (row.key == Key)
                return self->handleRow(row);
        }
        self->handleMissingRow(answer->version.era);
    });
}

auto PlacementLease::write() -> void
{
    const auto era = m_lease.era();
    const json value = {{"holder", m_name},
                        {"address", m_address.toString()},
                        {"era", era},
                        {"tenure", tenureToJson(m_lease.claimedTenure())}};
    const auto sentAt = Utils::bootTime();
    m_store.write(m_table, Key, m_lease.expectedVersion(), Utils::toJsonText(value),
                  [self = shared_from_this(), sentAt, era](const auto &answer) {
                      if (self->m_isStopped)
                          return;
                      if (answer) {
                          self->m_events.onAnswer(answer->era);
                          self->m_lease.handleWritten(*answer, era, sentAt, Utils::bootTime());
                          self->noteStoreAvailability(true);
                      } else {
                          self->m_lease.handleFailure();
                          if (answer.error() == StoreError::Unavailable)
                              self->noteStoreAvailability(false);
                      }
                      self->m_events.onWriteFinished();
                  });
}

auto PlacementLease::handleRow(const Row &row) -> void
{
    const json value = Utils::parseJson(row.value).value_or(json());
    const auto address =
        Http1::SocketAddress::parse(Utils::fieldOr(value, "address", std::string()));
    const std::string name = Utils::fieldOr(value, "holder", std::string());
    const Utils::StoreEra writtenIn{Utils::fieldOr(value, "era", std::uint64_t(0))};
    // A machine that replaces another one under its name has another address.
    const bool isOfThisMachine = m_address.isConnectable() && address == m_address;
    const auto tenure = isOfThisMachine ? tenureFromJson(value, row.version) : std::nullopt;
    m_lease.handleRow({name, row.version, writtenIn, tenure}, Utils::bootTime());
    const bool isOther = name != m_name || address != m_address;
    if (address && address->isConnectable() && isOther)
        m_events.onOtherHolder(*address);
}

auto PlacementLease::handleMissingRow(Utils::StoreEra era) -> void
{
    m_lease.handleRow({{}, {era, 0}, era, {}}, Utils::bootTime());
}

auto PlacementLease::handleHolderReport(const std::string &holder,
                                        const Utils::StoreVersion &version) -> void
{
    m_lease.handleReport({holder, version, version.era, {}}, Utils::bootTime());
}

auto PlacementLease::handleEra(Utils::StoreEra era) -> void
{
    m_lease.handleEra(era, Utils::bootTime());
}

auto PlacementLease::noteStoreAvailability(bool answers) -> void
{
    const bool isBack = answers && m_isStoreUnavailable;
    m_isStoreUnavailable = !answers;
    if (isBack)
        m_events.onStoreRecovered();
}

auto PlacementLease::stop() -> void
{
    m_isStopped = true;
}

auto PlacementLease::isHeld() const -> bool
{
    return !m_isStopped && m_lease.isHeld(Utils::bootTime());
}

auto PlacementLease::validFor() const -> std::chrono::milliseconds
{
    if (m_isStopped)
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        m_lease.validFor(Utils::bootTime()));
}

auto PlacementLease::version() const -> Utils::StoreVersion
{
    return m_lease.version();
}

auto PlacementLease::fence() const -> std::uint64_t
{
    return fenceOf(m_lease.tenure());
}

} // namespace Gateway
