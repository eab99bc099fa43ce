#pragma once

#include "rowstore.h"

#include <http1/socketaddress.h>
#include <membership/leaderlease.h>
#include <utils/timepoint.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Gateway {

/// The lease on model placement, stored as a row of the platform's store.
class PlacementLease : public std::enable_shared_from_this<PlacementLease>
{
public:
    struct Events
    {
        /// An answer of the store arrived; called before the lease uses it.
        std::function<void(Utils::StoreEra)> onAnswer;
        /// The row names another gateway, or another machine under this one's name.
        std::function<void(const Http1::SocketAddress &)> onOtherHolder;
        std::function<void()> onStoreRecovered; ///< The store answers again after an outage.
        std::function<void()> onWriteFinished; ///< A write has finished, successfully or not.
    };

    /// Key of the row in the gateways' table.
    static constexpr const char *Key = "placement";

    /// `address` is stored with the name; other gateways send their datagrams to it.
    PlacementLease(RowStore &store, std::string table, std::string name,
                   const Http1::SocketAddress &address, const Membership::LeaseTiming &timing,
                   Events events);

    /// Reads or writes the row if that is due.
    auto tick() -> void;
    auto handleRow(const Row &row) -> void;
    /// Handles a table without the row.
    auto handleMissingRow(Utils::StoreEra era) -> void;
    /// Handles a message in which the holder states its name and the row's version.
    auto handleHolderReport(const std::string &holder, const Utils::StoreVersion &version) -> void;
    /// The store is in that era.
    auto handleEra(Utils::StoreEra era) -> void;
    auto stop() -> void;

    auto isHeld() const -> bool;
    /// How long the lease lasts from now on if it isn't renewed; 0 if it is not held.
    auto validFor() const -> std::chrono::milliseconds;
    auto version() const -> Utils::StoreVersion;
    /// Fencing token of orders: the same in one tenure, and higher in each later one.
    auto fence() const -> std::uint64_t;
    auto tenureOrigin() const -> Membership::TenureOrigin { return m_lease.tenureOrigin(); }

private:
    auto read() -> void;
    auto write() -> void;
    auto noteStoreAvailability(bool answers) -> void;

    RowStore &m_store;
    std::string m_table;
    std::string m_name;
    Http1::SocketAddress m_address;
    Membership::LeaderLease m_lease;
    Events m_events;
    bool m_isStoreUnavailable = false;
    bool m_isStopped = false;
};

} // namespace Gateway
