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

/// Keeps a copy of one table: reads it once, then asks for changes with a long wait. After a gap in
/// the history it reads all again and works out what was removed meanwhile.
class TableFollower
{
public:
    struct Events
    {
        std::function<void(const Row &)> onRow; ///< Also for removed rows, without their value.
        std::function<void()> onCaughtUp; ///< After the first whole read.
        /// What is known here holds all that the store held at that time.
        std::function<void(Utils::TimePoint at)> onConfirmed;
        std::function<void(StoreError)> onLost; ///< The store stopped answering.
        std::function<void()> onRegained;
    };

    /// After an answer the next question waits for `batchInterval`, so that changes in quick
    /// succession come in one answer.
    TableFollower(Net::Scheduler &scheduler, RowStore &store, std::string table,
                  std::chrono::milliseconds batchInterval, Events events);
    ~TableFollower();

    auto start() -> void;
    auto isConnected() const -> bool;
    auto isCaughtUp() const -> bool;
    /// Version of the newest row, or removal of one, that is known here.
    auto newestRowVersion() const -> std::uint64_t;
    /// Version of the store up to which the copy is complete; not less than that of the newest row.
    auto completeVersion() const -> std::uint64_t;
    /// How long the store took to answer a question that it could answer at once.
    auto responseTime() const -> Utils::Duration;
    /// When part of an answer that is under way arrived last.
    auto lastProgressAt() const -> Utils::TimePoint;
    /// Someone knows a newer version: asks beside the open questions, one of which may have been
    /// lost. Their answers still count, however late: a slow link would else never bring one.
    auto queryAgain() -> void;
    /// Asks for a confirmation that the store answers at once, beside the open questions. Does
    /// nothing while parts of an answer arrive, which will do as well.
    auto requestConfirmation() -> void;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Gateway
