#include "placementlease.h"

#include <utils/boottime.h>
#include <utils/jsonfield.h>

#include <nlohmann/json.hpp>

namespace Gateway {

using nlohmann::json;

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
        for (const Row &row : answer->rows) {
            if (row.key == Key)
                return self->handleRow(row);
        }
        self->handleMissingRow();
    });
}

auto PlacementLease::write() -> void
{
    const json value = {{"holder", m_name}, {"address", m_address.toString()}};
    const auto sentAt = Utils::bootTime();
    m_store.write(m_table, Key, m_lease.expectedVersion(), value.dump(),
                  [self = shared_from_this(), sentAt](const auto &answer) {
                      if (self->m_isStopped)
                          return;
                      if (answer) {
                          self->m_lease.handleWritten(*answer, sentAt);
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
    const json value = json::parse(row.value, nullptr, false);
    const auto address =
        Http1::SocketAddress::parse(Utils::fieldOr(value, "address", std::string()));
    const std::string name = Utils::fieldOr(value, "holder", std::string());
    m_lease.handleRow({name, row.version}, Utils::bootTime());
    if (address && name != m_name)
        m_events.onOtherHolder(*address);
}

auto PlacementLease::handleMissingRow() -> void
{
    m_lease.handleRow({}, Utils::bootTime());
}

auto PlacementLease::handleHolderReport(const std::string &holder, std::uint64_t version) -> void
{
    if (version >= m_lease.version())
        m_lease.handleRow({holder, version}, Utils::bootTime());
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

auto PlacementLease::version() const -> std::uint64_t
{
    return m_lease.version();
}

} // namespace Gateway
