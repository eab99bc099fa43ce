#pragma once

#include "virtualrowstore.h"

#include <functional>
#include <type_traits>

/// One gateway's access to the store. Calls are carried out when they are sent; faults hold for
/// later calls.
class VirtualRowStoreClient : public Gateway::RowStore
{
public:
    enum class Fault {
        None,
        TurnedAway, ///< Refused at once, without an effect.
        Cut, ///< No effect and no answer.
        AnswersLost, ///< Effect, but no answer.
        WritesLost, ///< Writes have no effect and no answer; reads are answered.
        WritesLate, ///< Writes get no answer and are tried again later; reads are cut.
    };

    VirtualRowStoreClient(Net::Scheduler &scheduler, VirtualRowStore &store)
        : m_scheduler(scheduler)
        , m_store(store)
    { }

    Fault fault = Fault::None;
    std::chrono::milliseconds answerTime{4};
    std::chrono::milliseconds lateness{3000}; ///< Of writes that are carried out late.

    auto list(const std::string &table, const std::string &from, ProgressCallback,
              RowsCallback done) -> CallId override
    {
        ++m_store.reads;
        answer<Gateway::RowSet>(
            [this, table, from]() -> Utils::Result<Gateway::RowSet, Gateway::StoreError> {
                return m_store.list(table, from);
            },
            std::move(done));
        return ++m_calls;
    }
    auto changes(const std::string &table, const Utils::StoreVersion &after,
                 std::chrono::milliseconds, ProgressCallback, RowsCallback done) -> CallId override
    {
        ++m_store.reads;
        answer<Gateway::RowSet>(
            [this, table, after] { return m_store.changesAfter(table, after.number); },
            std::move(done));
        return ++m_calls;
    }
    auto abandon(CallId) -> void override { }
    auto write(const std::string &table, const std::string &key,
               const Utils::StoreVersion &expected, const std::string &value, WriteCallback done)
        -> void override
    {
        m_store.bytes += value.size();
        commit([&store = m_store, table, key, expected,
                value] { return store.commit(table, key, expected.number, &value); },
               std::move(done));
    }
    auto remove(const std::string &table, const std::string &key,
                const Utils::StoreVersion &expected, WriteCallback done) -> void override
    {
        commit([&store = m_store, table, key,
                expected] { return store.commit(table, key, expected.number, nullptr); },
               std::move(done));
    }

private:
    static constexpr std::chrono::milliseconds clientTimeout{1500};

    using Commit = std::function<Utils::Result<Utils::StoreVersion, Gateway::StoreError>()>;

    auto commit(const Commit &action, WriteCallback done) -> void
    {
        ++m_store.writes;
        if (fault == Fault::WritesLate)
            m_scheduler.callAfter(lateness, [action] { (void)action(); });
        answer<Utils::StoreVersion>(action, std::move(done));
    }

    template <typename Value>
    auto answer(const std::function<Utils::Result<Value, Gateway::StoreError>()> &action,
                std::function<void(const Utils::Result<Value, Gateway::StoreError> &)> done) -> void
    {
        Utils::Result<Value, Gateway::StoreError> result =
            tl::unexpected(Gateway::StoreError::Unavailable);
        const bool isRead = std::is_same_v<Value, Gateway::RowSet>;
        const bool isServed = fault == Fault::None || (isRead && fault == Fault::WritesLost);
        if (isServed || fault == Fault::AnswersLost)
            result = action();
        if constexpr (std::is_same_v<Value, Gateway::RowSet>) {
            if (result) {
                for (const auto &row : result->rows)
                    m_store.bytes += row.value.size() + row.key.size();
            }
        }
        const bool isAnswered = isServed || fault == Fault::TurnedAway;
        if (!isAnswered)
            result = tl::unexpected(Gateway::StoreError::Unavailable);
        m_scheduler.callAfter(isAnswered ? answerTime : clientTimeout,
                              [result, done = std::move(done)] { done(result); });
    }

    Net::Scheduler &m_scheduler;
    VirtualRowStore &m_store;
    CallId m_calls = 0;
};
