#pragma once

#include "rowstore.h"

#include <utils/timepoint.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Net {
class Scheduler;
}

namespace Gateway {

/// Keeps a copy of one table: reads it once, then long-polls for changes. After a gap in the
/// history, and when the store came back from a copy, it reads the whole table again and determines
/// which rows were removed meanwhile. Answers of earlier eras change nothing.
class TableFollower
{
public:
    struct Events
    {
        /// The store came back from a copy. The rows of that copy follow, until `onConfirmed`.
        std::function<void(Utils::StoreEra)> onEraChanged = nullptr;
        std::function<void(const Row &)> onRow; ///< Also for removed rows, without their value.
        std::function<void()> onCaughtUp; ///< After the first complete read.
        /// The copy contains everything that the store held at that time.
        std::function<void(Utils::TimePoint at)> onConfirmed;
        std::function<void(StoreError)> onLost; ///< The store stopped answering.
        std::function<void()> onRegained;
    };

    /// After an answer with changes the next query is delayed by `batchInterval`, so that one
    /// answer covers changes in quick succession.
    TableFollower(Net::Scheduler &scheduler, RowStore &store, std::string table,
                  std::chrono::milliseconds batchInterval, Events events);
    ~TableFollower();

    auto start() -> void;
    auto isConnected() const -> bool;
    auto isCaughtUp() const -> bool;
    /// Version of the newest known row or removal of a row.
    auto newestRowVersion() const -> const Utils::StoreVersion &;
    /// Version of the store up to which the copy is complete; at least that of the newest row.
    auto completeVersion() const -> const Utils::StoreVersion &;
    /// Time that the store took for the last query that it could answer at once.
    auto responseTime() const -> Utils::Duration;
    /// When the latest part of a pending answer arrived.
    auto lastProgressAt() const -> Utils::TimePoint;
    /// Sends another query because a newer version is known elsewhere and a pending query may have
    /// been lost. Late answers to the earlier queries are still used: on a slow link all answers
    /// may be late.
    auto queryAgain() -> void;
    /// Sends an additional query for a confirmation, which the store answers at once. Does nothing
    /// while parts of an answer arrive, as that answer confirms as well.
    auto requestConfirmation() -> void;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Gateway
