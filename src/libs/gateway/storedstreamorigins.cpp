#include "storedstreamorigins.h"

#include "rowstore.h"

#include <net/periodictimer.h>
#include <utils/eventlog.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <utility>

namespace Gateway {

using std::chrono::milliseconds;
using Utils::Duration;
using Utils::StoreEra;
using Utils::StoreVersion;
using Utils::TimePoint;

namespace {

const char *const versionsTable = "acaciahall-versions";
const char *const recordsTable = "acaciahall-streams";

/// A gateway without a current list of servers for this long begins no streams: its version may
/// have been removed. Together with the longest life of a stream this is shorter than
/// `VersionRetention`, as are the next two.
constexpr milliseconds ContactLifetime = StoredStreamOrigins::VersionRetention / 2;
/// Longest time between two confirmations of the list of servers without a gap.
constexpr milliseconds MaxListGap(6000);
/// A version that wasn't listed for this long has to be read in the row again.
constexpr milliseconds UnlistedLifetime = StoredStreamOrigins::VersionRetention / 4;
/// A version that was listed within this time belongs into the row if the store has lost it.
constexpr milliseconds LostVersionLifetime = StoredStreamOrigins::VersionRetention / 2;
/// Rows of ended gateways are removed after this time.
constexpr milliseconds LeftRowLifetime = 2 * StoredStreamOrigins::VersionRetention;

constexpr milliseconds TickInterval(1000);
/// Shortest time between two reads of a table, and the same for each gateway of the fleet. All
/// gateways together use half of the store's rate of 2,000 reads a second at most, for two tables.
constexpr milliseconds MinReadInterval(20);
constexpr milliseconds ReadIntervalPerGateway(2);
/// Shortest time between two writes of records, and the same for each gateway of the fleet: a
/// quarter of the store's rate of 400 writes a second.
constexpr milliseconds MinFlushInterval(500);
constexpr milliseconds FlushIntervalPerGateway(10);
/// In addition to that, until a record that another gateway is writing can be read.
constexpr milliseconds FlushMargin(50);
/// Gateways that see a new version spread their calls over this time for each of them.
constexpr milliseconds SpreadPerGateway(10);
constexpr milliseconds SpreadOfUnknownFleet(250);
constexpr milliseconds MinRetryDelay(100);
constexpr milliseconds MaxRetryDelay(1600);

constexpr size_t MaxStreams = 8192; ///< Of a service that began at this gateway.
constexpr size_t MaxReadRecords = 32768;
constexpr size_t MaxLookups = 4096;
constexpr size_t MaxOtherRows = 4096;
constexpr size_t MaxLoggedFaults = 64;
constexpr size_t MaxLoggedTextLength = 64;
/// Complete reads without a record of a stream after which there is none: the gateway that began it
/// may not have written the record before the first one.
constexpr int MaxMisses = 2;

auto retryDelay(int failures) -> Duration
{
    constexpr int mostDoublings = 4;
    const auto delay = MinRetryDelay * (1 << std::min(failures, mostDoublings));
    return std::min(delay, MaxRetryDelay);
}

auto makePrefix(std::uint64_t seed) -> std::string
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%016llx/", static_cast<unsigned long long>(seed));
    return text.data();
}

} // namespace

auto StoredStreamOrigins::sourceName(Source source) -> const char *
{
    switch (source) {
    case Source::Memory:
        return "memory";
    case Source::SingleVersion:
        return "single-version";
    case Source::Record:
        return "record";
    case Source::None:
        break;
    }
    return "none";
}

StoredStreamOrigins::Service::Service()
    : streams(MaxStreams, VersionRetention)
{ }

StoredStreamOrigins::StoredStreamOrigins(Net::Scheduler &scheduler, RowStore &store,
                                         bool isFirstStart, std::uint64_t seed, Events events)
    : m_scheduler(scheduler)
    , m_store(store)
    , m_isFirstStart(isFirstStart)
    , m_events(std::move(events))
    , m_random(seed)
    , m_journal(makePrefix(seed), VersionRetention)
    , m_records(MaxReadRecords, VersionRetention)
{ }

StoredStreamOrigins::~StoredStreamOrigins()
{
    *m_alive = false;
}

auto StoredStreamOrigins::start() -> void
{
    m_timer = std::make_unique<Net::PeriodicTimer>(m_scheduler, TickInterval, [this] { onTick(); });
}

auto StoredStreamOrigins::now() const -> TimePoint
{
    return m_scheduler.now() + m_events.suspendedTime();
}

auto StoredStreamOrigins::hasContact() const -> bool
{
    return m_listConfirmedAt && now() - *m_listConfirmedAt <= ContactLifetime;
}

auto StoredStreamOrigins::isListCurrent() const -> bool
{
    return m_listConfirmedAt && now() - *m_listConfirmedAt <= MaxListGap;
}

auto StoredStreamOrigins::service(const std::string &name) -> Service &
{
    return m_services[name];
}

auto StoredStreamOrigins::isRecording(const Service &service) const -> bool
{
    return !m_era || !service.isRead || !service.row || !service.row->onlyVersion(*m_era);
}

/// Streams that began while a single version was in use aren't recorded yet.
auto StoredStreamOrigins::startRecordingStreams(const Service &service) -> void
{
    const TimePoint at = now();
    service.streams.forEach([this, at](OriginLog::Key key, const std::string &version) {
        m_journal.add({key, version}, at);
    });
    scheduleFlush();
}

auto StoredStreamOrigins::onTick() -> void
{
    const TimePoint at = now();
    for (auto &[name, service] : m_services) {
        service.streams.removeExpired(at);
        for (const auto &[version, step] : service.listed)
            service.lastListedAt[version] = at;
        std::erase_if(service.acknowledged, [at, &times = service.lastListedAt](const auto &item) {
            const auto last = times.find(item.first);
            return last == times.end() || at - last->second > UnlistedLifetime;
        });
        std::erase_if(service.lastListedAt,
                      [at](const auto &item) { return at - item.second > VersionRetention; });
    }
    m_records.removeExpired(at);
    removeLeftRows();
    syncSoon();
}

auto StoredStreamOrigins::setListedVersions(const ListedVersions &listed) -> void
{
    for (const auto &[name, versions] : listed)
        service(name);
    for (auto &[name, service] : m_services) {
        for (const auto &[version, step] : service.listed)
            service.lastListedAt[version] = now();
        const auto before = std::exchange(service.listed, {});
        const auto found = listed.find(name);
        if (found == listed.end())
            continue;
        for (const std::string &named : found->second) {
            const std::string version = Placement::VersionSet::normalized(named);
            noteListed(service, version);
            const auto known = before.find(version);
            service.listed[version] = known != before.end() ? known->second : ++m_step;
        }
    }
    // At the first start all gateways would write the missing rows at once.
    if (!m_era && !m_services.empty() && !m_isFirstStart)
        return readVersions();
    syncSoon();
}

auto StoredStreamOrigins::noteListed(Service &service, const std::string &version) -> void
{
    const auto [last, isNew] = service.lastListedAt.try_emplace(version, now());
    if (isNew || now() - last->second > UnlistedLifetime)
        service.acknowledged.erase(version);
    last->second = now();
}

auto StoredStreamOrigins::noteListConfirmed(TimePoint at) -> void
{
    const TimePoint confirmedAt = at + m_events.suspendedTime();
    if (m_listConfirmedAt && confirmedAt - *m_listConfirmedAt > ContactLifetime) {
        for (auto &[name, service] : m_services) {
            service.acknowledged.clear();
            service.isRead = false;
        }
    }
    if (!m_listConfirmedAt || confirmedAt - *m_listConfirmedAt > MaxListGap)
        m_listFollowedSince = confirmedAt;
    const bool hadContact = hasContact();
    m_listConfirmedAt = std::max(m_listConfirmedAt.value_or(confirmedAt), confirmedAt);
    syncSoon();
    if (!hadContact && hasContact())
        m_events.onMayBeginChanged();
}

auto StoredStreamOrigins::setGatewayCount(int count) -> void
{
    m_gatewayCount = count;
}

auto StoredStreamOrigins::handleStoreEra(StoreEra era) -> void
{
    if (m_era && era <= *m_era)
        return;
    const bool isNews = m_era.has_value();
    std::vector<const Service *> unrecorded;
    for (const auto &[name, service] : m_services) {
        if (!isRecording(service))
            unrecorded.push_back(&service);
    }
    m_era = era;
    m_eraLearnedAt = now();
    if (!isNews)
        return;
    m_journal.writeAllAgain();
    m_otherRows.clear();
    for (auto &[name, service] : m_services) {
        service.isRead = false;
        service.incompleteSince.reset();
        service.retiringSince.clear();
    }
    for (const Service *service : unrecorded)
        startRecordingStreams(*service);
    scheduleFlush();
    syncSoon();
}

auto StoredStreamOrigins::handleStoreRecovered() -> void
{
    m_failures = 0;
    m_recordFailures = 0;
    syncSoon();
}

auto StoredStreamOrigins::mayBegin(const std::string &service, const std::string &version) const
    -> bool
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !m_era || !hasContact())
        return false;
    // A row that the store has lost in a copy is written again, and proves nothing until then.
    return found->second.acknowledged.count(Placement::VersionSet::normalized(version)) > 0;
}

auto StoredStreamOrigins::noteBegun(const std::string &attempt, const std::string &serviceName,
                                    const std::string &version) -> void
{
    Service &noted = service(serviceName);
    const OriginLog::Key key = OriginLog::makeKey(serviceName, attempt);
    if (!noted.streams.note(key, Placement::VersionSet::normalized(version), now())
        || !isRecording(noted))
        return;
    m_journal.add({key, *noted.streams.find(key)}, now());
    scheduleFlush();
}

auto StoredStreamOrigins::find(const std::string &attempt, const std::string &serviceName,
                               Duration patience, Callback done) -> Ticket
{
    const Ticket ticket = m_nextTicket++;
    const OriginLog::Key key = OriginLog::makeKey(serviceName, attempt);
    const Service &asked = service(serviceName);
    auto known = asked.streams.find(key);
    if (!known)
        known = m_records.find(key);
    const bool isRefused = m_lookups.size() >= MaxLookups;
    Lookup &lookup = m_lookups[ticket];
    lookup.attempt = attempt.substr(0, MaxLoggedTextLength);
    lookup.service = serviceName;
    lookup.key = key;
    lookup.step = ++m_step;
    lookup.recordsStep = lookup.step;
    lookup.askedAt = m_scheduler.now();
    lookup.deadline = lookup.askedAt + patience;
    lookup.done = std::move(done);
    if (known || isRefused) {
        lookup.timer = callLater(milliseconds(0), [this, ticket, known] {
            const bool isProved = known && !known->empty();
            finish(ticket, isProved ? known : std::nullopt,
                   isProved ? Source::Memory : Source::None);
        });
        return ticket;
    }
    lookup.timer =
        callLater(patience, [this, ticket] { finish(ticket, std::nullopt, Source::None); });
    readVersions();
    if (isRecording(asked)) {
        lookup.areRecordsAsked = true;
        readRecords();
    }
    return ticket;
}

auto StoredStreamOrigins::cancel(Ticket ticket) -> void
{
    const auto found = m_lookups.find(ticket);
    if (found == m_lookups.end())
        return;
    m_scheduler.cancel(found->second.timer);
    m_lookups.erase(found);
}

auto StoredStreamOrigins::rememberedStreams() const -> size_t
{
    size_t count = m_records.size() + m_journal.recordCount();
    for (const auto &[name, service] : m_services)
        count += service.streams.size();
    return count;
}

auto StoredStreamOrigins::isSyncNeeded(const Service &service) const -> bool
{
    if (service.isWriting)
        return false;
    if (!service.isRead)
        return !service.listed.empty();
    const Placement::VersionSet wanted = wantedSet(service);
    if (!wanted.names().empty() && (!service.row || *service.row != wanted))
        return true;
    return std::any_of(service.listed.begin(), service.listed.end(), [&](const auto &item) {
        const auto found = service.acknowledged.find(item.first);
        const bool isKnown = found != service.acknowledged.end() && found->second == *m_era;
        return service.row && service.row->contains(item.first) && !isKnown;
    });
}

/// No stream is alive that can have begun at a version which the row lacks: no gateway has used
/// such a version since the row was first seen to be incomplete, or since the era began.
auto StoredStreamOrigins::isConfirmable(const Service &service) const -> bool
{
    if (!service.hasExisted && m_isFirstStart && *m_era == StoreEra(0))
        return true;
    const TimePoint since = std::max(m_eraLearnedAt, service.incompleteSince.value_or(now()));
    return isListCurrent() && now() - since >= VersionRetention;
}

auto StoredStreamOrigins::isOutOfUse(const Service &service, const std::string &version) const
    -> bool
{
    if (service.listed.count(version) > 0 || now() - m_listFollowedSince < VersionRetention)
        return false;
    const auto hasPassed = [&](const std::map<std::string, TimePoint> &times) {
        const auto found = times.find(version);
        return found == times.end() || now() - found->second >= VersionRetention;
    };
    return hasPassed(service.lastListedAt) && hasPassed(service.firstReadAt);
}

/// Schedules a read if a row has to be written or a version has to be read in it.
auto StoredStreamOrigins::syncSoon() -> void
{
    if (m_isSyncScheduled || m_isReadingVersions)
        return;
    const auto isNeeded = [this] {
        return std::any_of(m_services.begin(), m_services.end(),
                           [this](const auto &item) { return isSyncNeeded(item.second); });
    };
    if (!isNeeded())
        return;
    m_isSyncScheduled = true;
    const Duration delay = m_failures > 0 ? delayAfterFailure() : randomDelay(spread());
    callLater(delay, [this, isNeeded] {
        m_isSyncScheduled = false;
        if (isNeeded())
            readVersions();
    });
}

auto StoredStreamOrigins::spread() const -> Duration
{
    return m_gatewayCount > 0 ? SpreadPerGateway * m_gatewayCount : SpreadOfUnknownFleet;
}

auto StoredStreamOrigins::randomDelay(Duration limit) -> Duration
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(m_random));
}

auto StoredStreamOrigins::delayAfterFailure() -> Duration
{
    return retryDelay(m_failures) + randomDelay(spread());
}

auto StoredStreamOrigins::readInterval() const -> Duration
{
    return std::max(MinReadInterval, ReadIntervalPerGateway * m_gatewayCount);
}

auto StoredStreamOrigins::readVersions() -> void
{
    if (m_isReadingVersions) {
        m_mustReadVersionsAgain = true;
        return;
    }
    if (std::exchange(m_isVersionsReadScheduled, true))
        return;
    callLater(std::max(m_nextVersionsRead - m_scheduler.now(), Duration::zero()),
              [this] { startReadingVersions(); });
}

auto StoredStreamOrigins::startReadingVersions() -> void
{
    m_isVersionsReadScheduled = false;
    m_isReadingVersions = true;
    m_mustReadVersionsAgain = false;
    m_nextVersionsRead = m_scheduler.now() + readInterval();
    const auto read = std::make_shared<Read>();
    read->step = ++m_step;
    readVersionsPage(read, {});
}

auto StoredStreamOrigins::readVersionsPage(const std::shared_ptr<Read> &read,
                                           const std::string &from) -> void
{
    m_store.list(versionsTable, from, nullptr, [this, alive = m_alive, read](const auto &answer) {
        if (!*alive)
            return;
        if (!answer)
            return finishReadingVersions(false);
        handleStoreEra(answer->version.era);
        if (!read->version)
            read->version = answer->version;
        // Rows of an earlier era may be lost meanwhile.
        if (answer->version.era != *m_era || read->version->era != *m_era)
            return finishReadingVersions(false);
        read->rows.insert(read->rows.end(), answer->rows.begin(), answer->rows.end());
        if (answer->hasMore && !answer->rows.empty())
            return readVersionsPage(read, answer->rows.back().key + '\0');
        handleVersions(*read);
    });
}

auto StoredStreamOrigins::handleVersions(const Read &read) -> void
{
    m_failures = 0;
    std::map<std::string, const Row *> rows;
    for (const Row &row : read.rows)
        rows[row.key] = &row;
    std::vector<std::string> names;
    for (const auto &[name, service] : m_services)
        names.push_back(name);
    for (const std::string &name : names) {
        const auto found = rows.find(name);
        handleRow(name, found == rows.end() ? nullptr : found->second, read);
        writeIfChanged(name);
    }
    finishReadingVersions(true);
    resolveByVersions(read);
}

auto StoredStreamOrigins::finishReadingVersions(bool isComplete) -> void
{
    m_isReadingVersions = false;
    if (isComplete) {
        if (m_mustReadVersionsAgain)
            readVersions();
        return;
    }
    ++m_failures;
    if (m_lookups.empty() && !m_mustReadVersionsAgain)
        return syncSoon();
    m_nextVersionsRead = m_scheduler.now() + delayAfterFailure();
    readVersions();
}

auto StoredStreamOrigins::handleRow(const std::string &name, const Row *row, const Read &read)
    -> void
{
    Service &known = service(name);
    if (known.writtenAt > read.step)
        return;
    if (!row) {
        if (!known.hasExisted && !known.incompleteSince)
            known.incompleteSince = m_eraLearnedAt;
        return handleUnusableRow(known, {*m_era, 0});
    }
    known.hasExisted = true;
    const auto set =
        row->fault ? tl::unexpected(*row->fault) : Placement::VersionSet::parse(row->value);
    if (set)
        return setRow(name, *set, row->version, read.step, "read");
    if (std::exchange(known.loggedFault, set.error()) != set.error())
        Utils::logEvent(Utils::Event::EntryRejected,
                        {{"what", "versions"}, {"service", name}, {"reason", set.error()}});
    handleUnusableRow(known, row->version);
}

auto StoredStreamOrigins::handleUnusableRow(Service &service, const StoreVersion &version) -> void
{
    const bool wasRecording = isRecording(service);
    service.isRead = true;
    service.row.reset();
    service.rowVersion = version;
    service.firstReadAt.clear();
    service.retiringSince.clear();
    std::erase_if(service.acknowledged, [this](const auto &item) { return item.second == *m_era; });
    if (!service.incompleteSince)
        service.incompleteSince = now();
    if (!wasRecording)
        startRecordingStreams(service);
}

auto StoredStreamOrigins::setRow(const std::string &name, const Placement::VersionSet &set,
                                 const StoreVersion &version, std::uint64_t step,
                                 const char *reason) -> void
{
    Service &changed = service(name);
    const bool isNews = !changed.isRead || !changed.row || *changed.row != set;
    const bool wasRecording = isRecording(changed);
    const auto acknowledgedBefore = changed.acknowledged;
    const TimePoint at = now();
    changed.isRead = true;
    changed.row = set;
    changed.rowVersion = version;
    changed.hasExisted = true;
    changed.loggedFault.clear();
    std::erase_if(changed.acknowledged, [&](const auto &item) {
        return item.second == *m_era && (!set.contains(item.first) || set.isRetiring(item.first));
    });
    std::erase_if(changed.firstReadAt, [&](const auto &item) { return !set.contains(item.first); });
    std::erase_if(changed.retiringSince,
                  [&](const auto &item) { return !set.isRetiring(item.first); });
    for (const std::string &known : set.names()) {
        changed.firstReadAt.try_emplace(known, at);
        const auto listed = changed.listed.find(known);
        if (set.isRetiring(known))
            changed.retiringSince.try_emplace(known, at);
        else if (listed != changed.listed.end() && listed->second < step)
            changed.acknowledged[known] = *m_era;
    }
    if (set.isConfirmed(*m_era))
        changed.incompleteSince.reset();
    else if (!changed.incompleteSince)
        changed.incompleteSince = at;
    if (!wasRecording && isRecording(changed))
        startRecordingStreams(changed);
    if (isNews)
        Utils::logEvent(Utils::Event::VersionsChanged,
                        {{"service", name},
                         {"versions", set.names()},
                         {"era", *m_era},
                         {"confirmed", set.isConfirmed(*m_era)},
                         {"reason", reason}});
    if (changed.acknowledged != acknowledgedBefore)
        m_events.onMayBeginChanged();
}

auto StoredStreamOrigins::resolveByVersions(const Read &read) -> void
{
    bool areRecordsNeeded = false;
    for (const Ticket ticket : openTickets()) {
        const auto found = m_lookups.find(ticket);
        if (found == m_lookups.end() || found->second.step > read.step)
            continue;
        Lookup &lookup = found->second;
        const Service &asked = service(lookup.service);
        const auto only = asked.isRead && asked.row ? asked.row->onlyVersion(*m_era) : std::nullopt;
        if (only) {
            finish(ticket, only, Source::SingleVersion);
            continue;
        }
        if (lookup.misses >= MaxMisses) {
            finish(ticket, std::nullopt, Source::None);
            continue;
        }
        lookup.areSeveralPossible = true;
        areRecordsNeeded = areRecordsNeeded || !lookup.areRecordsAsked;
        lookup.areRecordsAsked = true;
    }
    if (areRecordsNeeded)
        readRecords();
}

/// The set that the service's row should hold, from what is known here.
auto StoredStreamOrigins::wantedSet(const Service &service) const -> Placement::VersionSet
{
    Placement::VersionSet wanted = service.row.value_or(Placement::VersionSet());
    const auto known = wanted.names();
    for (const std::string &version : known) {
        if (!isOutOfUse(service, version))
            continue;
        const auto retiring = service.retiringSince.find(version);
        if (retiring == service.retiringSince.end())
            wanted.retire(version);
        else if (m_listConfirmedAt && *m_listConfirmedAt > retiring->second)
            wanted.remove(version);
    }
    for (const auto &[version, at] : service.lastListedAt) {
        const bool isListed = service.listed.count(version) > 0;
        if (isListed || (now() - at < LostVersionLifetime && !wanted.contains(version)))
            wanted.add(version);
    }
    if (!wanted.isConfirmed(*m_era) && isConfirmable(service))
        wanted.confirm(*m_era);
    // The versions of a service without servers don't matter.
    if (wanted.names().empty() && service.row)
        return *service.row;
    return wanted;
}

auto StoredStreamOrigins::writeIfChanged(const std::string &name) -> void
{
    Service &written = service(name);
    if (written.isWriting || !written.isRead)
        return;
    const Placement::VersionSet wanted = wantedSet(written);
    if (wanted.names().empty() || (written.row && *written.row == wanted))
        return;
    written.isWriting = true;
    m_store.write(
        versionsTable, name, written.rowVersion, wanted.toText(),
        [this, alive = m_alive, name, wanted, era = *m_era, step = ++m_step](const auto &answer) {
            if (!*alive)
                return;
            Service &done = service(name);
            done.isWriting = false;
            if (answer) {
                handleStoreEra(answer->era);
                if (answer->era == era && *m_era == era) {
                    done.writtenAt = ++m_step;
                    return setRow(name, wanted, *answer, step, "written");
                }
            }
            if (!answer && answer.error() != StoreError::Conflict)
                ++m_failures;
            done.isRead = false;
            syncSoon();
        });
}

auto StoredStreamOrigins::readRecords() -> void
{
    if (m_isReadingRecords) {
        m_mustReadRecordsAgain = true;
        return;
    }
    if (std::exchange(m_isRecordsReadScheduled, true))
        return;
    callLater(std::max(m_nextRecordsRead - m_scheduler.now(), Duration::zero()),
              [this] { startReadingRecords(); });
}

auto StoredStreamOrigins::startReadingRecords() -> void
{
    m_isRecordsReadScheduled = false;
    m_isReadingRecords = true;
    m_mustReadRecordsAgain = false;
    m_nextRecordsRead = m_scheduler.now() + readInterval();
    const auto read = std::make_shared<Read>();
    read->step = ++m_step;
    if (m_recordsVersion && m_era && m_recordsVersion->era == *m_era)
        return readRecordChanges(read);
    readRecordsPage(read, {});
}

auto StoredStreamOrigins::readRecordsPage(const std::shared_ptr<Read> &read,
                                          const std::string &from) -> void
{
    m_store.list(recordsTable, from, nullptr, [this, alive = m_alive, read](const auto &answer) {
        if (!*alive)
            return;
        if (!answer)
            return finishReadingRecords(*read, false);
        handleStoreEra(answer->version.era);
        handleRecords(*answer);
        // Changes during the read are asked for from the first page's version on.
        if (!read->version)
            read->version = answer->version;
        if (answer->hasMore && !answer->rows.empty())
            return readRecordsPage(read, answer->rows.back().key + '\0');
        m_recordsVersion = read->version;
        finishReadingRecords(*read, true);
    });
}

auto StoredStreamOrigins::readRecordChanges(const std::shared_ptr<Read> &read) -> void
{
    const StoreVersion after = *m_recordsVersion;
    m_store.changes(recordsTable, after, milliseconds(0), nullptr,
                    [this, alive = m_alive, read, after](const auto &answer) {
                        if (!*alive)
                            return;
                        if (!answer && answer.error() != StoreError::HistoryGone)
                            return finishReadingRecords(*read, false);
                        if (answer)
                            handleStoreEra(answer->version.era);
                        if (!answer || answer->version.era != after.era
                            || answer->version < after) {
                            m_recordsVersion.reset();
                            return readRecordsPage(read, {});
                        }
                        handleRecords(*answer);
                        m_recordsVersion = answer->version;
                        if (answer->hasMore && answer->version > after)
                            return readRecordChanges(read);
                        finishReadingRecords(*read, true);
                    });
}

auto StoredStreamOrigins::handleRecords(const RowSet &answer) -> void
{
    const TimePoint at = now();
    for (const Row &row : answer.rows) {
        if (m_journal.isOwn(row.key))
            continue;
        if (row.isRemoved) {
            m_otherRows.erase(row.key);
            continue;
        }
        if (m_otherRows.size() < MaxOtherRows || m_otherRows.count(row.key) > 0) {
            OtherRow &known = m_otherRows[row.key];
            if (known.version != row.version)
                known = {row.version, at};
        }
        const auto records =
            row.fault ? tl::unexpected(*row.fault) : OriginJournal::parseRow(row.value);
        if (records) {
            for (const auto &record : *records)
                m_records.note(record.key, Placement::VersionSet::normalized(record.version), at);
            continue;
        }
        if (m_unreadableRecords.size() < MaxLoggedFaults
            && m_unreadableRecords.insert(row.key).second)
            Utils::logEvent(Utils::Event::EntryRejected,
                            {{"what", "streams"}, {"row", row.key}, {"reason", records.error()}});
    }
}

auto StoredStreamOrigins::finishReadingRecords(const Read &read, bool isComplete) -> void
{
    m_isReadingRecords = false;
    if (isComplete) {
        m_recordFailures = 0;
        if (m_mustReadRecordsAgain)
            readRecords();
        return resolveByRecords(read);
    }
    ++m_recordFailures;
    if (m_lookups.empty())
        return;
    m_nextRecordsRead =
        m_scheduler.now() + retryDelay(m_recordFailures) + randomDelay(readInterval());
    readRecords();
}

auto StoredStreamOrigins::resolveByRecords(const Read &read) -> void
{
    const Duration delay = flushInterval() + FlushMargin;
    std::vector<Ticket> missed;
    for (const Ticket ticket : openTickets()) {
        const auto found = m_lookups.find(ticket);
        if (found == m_lookups.end() || found->second.recordsStep > read.step)
            continue;
        Lookup &lookup = found->second;
        if (const auto version = m_records.find(lookup.key)) {
            if (version->empty())
                finish(ticket, std::nullopt, Source::None);
            else
                finish(ticket, version, Source::Record);
            continue;
        }
        ++lookup.misses;
        if (m_scheduler.now() + delay >= lookup.deadline)
            lookup.misses = MaxMisses;
        if (lookup.misses < MaxMisses) {
            // Reads before the delay has passed show nothing new.
            lookup.recordsStep = std::numeric_limits<std::uint64_t>::max();
            missed.push_back(ticket);
        } else if (lookup.areSeveralPossible) {
            finish(ticket, std::nullopt, Source::None);
        }
    }
    if (missed.empty())
        return;
    callLater(delay, [this, missed] {
        const std::uint64_t step = ++m_step;
        bool isAnyOpen = false;
        for (const Ticket ticket : missed) {
            const auto found = m_lookups.find(ticket);
            if (found == m_lookups.end())
                continue;
            found->second.recordsStep = step;
            isAnyOpen = true;
        }
        if (isAnyOpen)
            readRecords();
    });
}

auto StoredStreamOrigins::flushInterval() const -> Duration
{
    return std::max(MinFlushInterval, FlushIntervalPerGateway * m_gatewayCount);
}

auto StoredStreamOrigins::scheduleFlush() -> void
{
    if (m_isFlushing || m_isFlushScheduled || !m_journal.hasWork())
        return;
    m_isFlushScheduled = true;
    const Duration delay =
        flushInterval() + (m_flushFailures > 0 ? retryDelay(m_flushFailures) : Duration::zero());
    callLater(delay, [this] {
        m_isFlushScheduled = false;
        flush();
    });
}

auto StoredStreamOrigins::flush() -> void
{
    if (const auto write = m_journal.takeWrite()) {
        m_isFlushing = true;
        m_store.write(recordsTable, write->key, write->expected, write->value,
                      [this, alive = m_alive, key = write->key](const auto &answer) {
                          if (!*alive)
                              return;
                          m_isFlushing = false;
                          m_flushFailures = answer ? 0 : m_flushFailures + 1;
                          if (answer)
                              m_journal.handleWritten(key, *answer);
                          else if (answer.error() == StoreError::Conflict)
                              m_journal.handleConflict(key);
                          else
                              m_journal.handleFailure(key);
                          scheduleFlush();
                      });
        return;
    }
    if (const auto removal = m_journal.takeRemoval(now()))
        m_store.remove(recordsTable, removal->key, removal->expected, [](const auto &) {});
    scheduleFlush();
}

/// Rows of gateways that have ended stay in the table; one gateway in the fleet removes each.
auto StoredStreamOrigins::removeLeftRows() -> void
{
    const TimePoint at = now();
    const auto left = std::find_if(m_otherRows.begin(), m_otherRows.end(), [at](const auto &item) {
        return at - item.second.readAt > LeftRowLifetime;
    });
    if (left == m_otherRows.end()
        || std::uniform_int_distribution<int>(1, std::max(m_gatewayCount, 1))(m_random) > 1)
        return;
    m_store.remove(recordsTable, left->first, left->second.version, [](const auto &) {});
    m_otherRows.erase(left);
}

auto StoredStreamOrigins::openTickets() const -> std::vector<Ticket>
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, lookup] : m_lookups)
        tickets.push_back(ticket);
    return tickets;
}

auto StoredStreamOrigins::finish(Ticket ticket, const std::optional<std::string> &version,
                                 Source source) -> void
{
    auto node = m_lookups.extract(ticket);
    if (node.empty())
        return;
    const Lookup &lookup = node.mapped();
    m_scheduler.cancel(lookup.timer);
    const auto waited = m_scheduler.now() - lookup.askedAt;
    Utils::logEvent(version ? Utils::Event::StreamOriginFound : Utils::Event::StreamOriginUnknown,
                    {{"attempt", lookup.attempt},
                     {"service", lookup.service},
                     {"version", version.value_or(std::string())},
                     {"source", sourceName(source)},
                     {"waitedMs", std::chrono::duration_cast<milliseconds>(waited).count()}});
    m_events.onLookup(source);
    lookup.done(version);
}

auto StoredStreamOrigins::callLater(Duration delay, std::function<void()> function)
    -> Net::Scheduler::TimerId
{
    return m_scheduler.callAfter(delay, [alive = m_alive, function = std::move(function)] {
        if (*alive)
            function();
    });
}

} // namespace Gateway
