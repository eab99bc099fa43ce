#pragma once

#include "originjournal.h"
#include "originlog.h"
#include "streamorigins.h"
#include <placement/versionset.h>

#include <net/scheduler.h>
#include <utils/storeversion.h>
#include <utils/timepoint.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Net {
class PeriodicTimer;
}

namespace Gateway {

class RowStore;
enum class StoreError;
struct Row;
struct RowSet;

/// Proves by the platform's store which version began a stream, for all gateways together and over
/// their ends. The store holds a set of versions for each service, which names a version before any
/// stream begins at it. While a set doesn't consist of a single named version, the gateways also
/// record the versions of streams.
class StoredStreamOrigins : public StreamOrigins
{
public:
    /// How a version was found.
    enum class Source {
        Memory, ///< This gateway has served the stream or read its record before.
        SingleVersion, ///< No stream that is alive can have begun at another one.
        Record,
        None,
    };

    static auto sourceName(Source source) -> const char *;

    struct Events
    {
        std::function<void()> onMayBeginChanged;
        std::function<void(Source)> onLookup;
        /// Total time for which the machine was suspended; the scheduler's clock does not count it.
        std::function<Utils::Duration()> suspendedTime;
    };

    /// Time after which no stream is alive that began at a version that is no longer listed.
    static constexpr std::chrono::milliseconds VersionRetention{120'000};

    /// `seed` has to differ from that of any other run of a gateway. The row of a service is taken
    /// for complete when it is created at the system's first start.
    StoredStreamOrigins(Net::Scheduler &scheduler, RowStore &store, bool isFirstStart,
                        std::uint64_t seed, Events events);
    ~StoredStreamOrigins() override;

    using ListedVersions = std::map<std::string, std::set<std::string>>; ///< By service.

    auto start() -> void;
    /// The versions of all listed servers.
    auto setListedVersions(const ListedVersions &listed) -> void;
    /// The list of servers was complete as of `at`.
    auto noteListConfirmed(Utils::TimePoint at) -> void;
    auto setGatewayCount(int count) -> void;
    auto handleStoreEra(Utils::StoreEra era) -> void;
    auto handleStoreRecovered() -> void;

    auto mayBegin(const std::string &service, const std::string &version) const -> bool override;
    auto noteBegun(const std::string &attempt, const std::string &service,
                   const std::string &version) -> void override;
    auto find(const std::string &attempt, const std::string &service, Utils::Duration patience,
              Callback done) -> Ticket override;
    auto cancel(Ticket ticket) -> void override;

    auto rememberedStreams() const -> size_t;

private:
    struct Service
    {
        Service();

        bool isRead = false; ///< In the present era.
        std::optional<Placement::VersionSet> row; ///< Unset while it is missing or can't be read.
        Utils::StoreVersion rowVersion;
        std::uint64_t writtenAt = 0; ///< Number of the step at which the row was last written.
        bool isWriting = false;
        bool hasExisted = false;
        std::string loggedFault;
        std::optional<Utils::TimePoint> incompleteSince; ///< Unset while the row is confirmed.
        std::map<std::string, std::uint64_t> listed; ///< The step since which each is listed.
        std::map<std::string, Utils::TimePoint> lastListedAt;
        std::map<std::string, Utils::TimePoint> firstReadAt; ///< Versions in the row.
        std::map<std::string, Utils::TimePoint> retiringSince; ///< As first read.
        /// Versions that the store's row was seen to have after they were listed.
        std::map<std::string, Utils::StoreEra> acknowledged;
        OriginLog streams; ///< Begun at this gateway.
    };

    struct Lookup
    {
        std::string attempt;
        std::string service;
        OriginLog::Key key = 0;
        std::uint64_t step = 0; ///< Only reads that were begun at a later one prove anything.
        std::uint64_t recordsStep = 0; ///< The same for reads of records.
        Utils::TimePoint askedAt;
        Utils::TimePoint deadline;
        Net::Scheduler::TimerId timer = 0;
        bool areRecordsAsked = false;
        bool areSeveralPossible = false; ///< The service's set was read and proves no version.
        int misses = 0; ///< Complete reads without a record of the stream.
        Callback done;
    };

    struct Read
    {
        std::uint64_t step = 0;
        std::vector<Row> rows;
        std::optional<Utils::StoreVersion> version; ///< Of the first page.
    };

    auto now() const -> Utils::TimePoint;
    auto hasContact() const -> bool;
    auto isListCurrent() const -> bool;
    auto service(const std::string &name) -> Service &;
    auto isRecording(const Service &service) const -> bool;
    auto noteListed(Service &service, const std::string &version) -> void;
    auto startRecordingStreams(const Service &service) -> void;
    auto onTick() -> void;

    auto isSyncNeeded(const Service &service) const -> bool;
    auto isConfirmable(const Service &service) const -> bool;
    /// True if nobody can have been given the version for long.
    auto isOutOfUse(const Service &service, const std::string &version) const -> bool;
    auto syncSoon() -> void;
    auto spread() const -> Utils::Duration;
    auto randomDelay(Utils::Duration limit) -> Utils::Duration;
    auto delayAfterFailure() -> Utils::Duration;

    auto readInterval() const -> Utils::Duration;
    /// Reads the sets of versions, after the read that is pending if there is one.
    auto readVersions() -> void;
    auto startReadingVersions() -> void;
    auto readVersionsPage(const std::shared_ptr<Read> &read, const std::string &from) -> void;
    auto handleVersions(const Read &read) -> void;
    auto finishReadingVersions(bool isComplete) -> void;
    auto handleRow(const std::string &name, const Row *row, const Read &read) -> void;
    auto handleUnusableRow(Service &service, const Utils::StoreVersion &version) -> void;
    auto resolveByVersions(const Read &read) -> void;
    auto wantedSet(const Service &service) const -> Placement::VersionSet;
    auto writeIfChanged(const std::string &name) -> void;
    /// The row was read or written in a call that began at `step`.
    auto setRow(const std::string &name, const Placement::VersionSet &set,
                const Utils::StoreVersion &version, std::uint64_t step, const char *reason) -> void;

    auto readRecords() -> void;
    auto startReadingRecords() -> void;
    auto readRecordsPage(const std::shared_ptr<Read> &read, const std::string &from) -> void;
    auto readRecordChanges(const std::shared_ptr<Read> &read) -> void;
    auto handleRecords(const RowSet &answer) -> void;
    auto finishReadingRecords(const Read &read, bool isComplete) -> void;
    auto resolveByRecords(const Read &read) -> void;
    auto flushInterval() const -> Utils::Duration;
    auto scheduleFlush() -> void;
    auto flush() -> void;
    auto removeLeftRows() -> void;

    auto openTickets() const -> std::vector<Ticket>;
    auto finish(Ticket ticket, const std::optional<std::string> &version, Source source) -> void;
    auto callLater(Utils::Duration delay, std::function<void()> function)
        -> Net::Scheduler::TimerId;

    Net::Scheduler &m_scheduler;
    RowStore &m_store;
    bool m_isFirstStart;
    Events m_events;
    std::mt19937_64 m_random;
    int m_gatewayCount = 0; ///< 0 while it isn't known.
    std::optional<Utils::StoreEra> m_era;
    Utils::TimePoint m_eraLearnedAt;
    std::optional<Utils::TimePoint> m_listConfirmedAt;
    Utils::TimePoint
        m_listFollowedSince; ///< Without a gap in which versions may have come and gone.
    std::map<std::string, Service> m_services;
    std::uint64_t m_step = 0; ///< Orders reads, writes and lookups.
    Utils::TimePoint m_nextVersionsRead;
    Utils::TimePoint m_nextRecordsRead;
    std::map<Ticket, Lookup> m_lookups;
    Ticket m_nextTicket = 1;

    bool m_isReadingVersions = false;
    bool m_mustReadVersionsAgain = false;
    bool m_isVersionsReadScheduled = false;
    bool m_isSyncScheduled = false;
    int m_failures = 0; ///< Of calls for sets of versions, in a row.

    OriginJournal m_journal;
    OriginLog m_records; ///< Of other gateways' streams, as read.
    std::optional<Utils::StoreVersion> m_recordsVersion; ///< Up to which the records are read.
    bool m_isReadingRecords = false;
    bool m_mustReadRecordsAgain = false;
    bool m_isRecordsReadScheduled = false;
    int m_recordFailures = 0; ///< Of reads, in a row.
    bool m_isFlushScheduled = false;
    bool m_isFlushing = false;
    int m_flushFailures = 0;
    std::set<std::string> m_unreadableRecords; ///< As logged.

    /// A row of another run of a gateway, as it was when it was first read with that version.
    struct OtherRow
    {
        Utils::StoreVersion version;
        Utils::TimePoint readAt;
    };
    std::map<std::string, OtherRow> m_otherRows;

    std::unique_ptr<Net::PeriodicTimer> m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Gateway
