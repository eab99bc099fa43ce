#include "controlstore.h"

#include "objectstore.h"

#include <control/controlconstants.h>

#include <cstdio>

namespace Storage {

using Control::Change;
using Control::Revision;
using Control::StoreAnswer;
using nlohmann::json;

namespace {

const std::string headKey = "control/head";
const std::string logPrefix = "control/log/";
const std::string snapshotName = "control-snapshot";

auto logKey(Revision revision) -> std::string
{
    char digits[32];
    std::snprintf(digits, sizeof digits, "%016llu", static_cast<unsigned long long>(revision));
    return logPrefix + digits;
}

auto logEnd() -> std::string
{
    return logPrefix + "~";
}

auto parseChanges(const std::vector<TableRow> &rows)
    -> Utils::Result<std::vector<Change>, ControlStoreError>
{
    std::vector<Change> changes;
    for (const auto &row : rows) {
        const auto change = Control::changeFromJson(row.value);
        if (!change)
            return tl::unexpected(ControlStoreError::Damaged);
        changes.push_back(*change);
    }
    return changes;
}

auto toStoreError(TableError error) -> ControlStoreError
{
    switch (error) {
    case TableError::Conflict:
        return ControlStoreError::Conflict;
    case TableError::Malformed:
        return ControlStoreError::Damaged;
    case TableError::Unavailable:
        break;
    }
    return ControlStoreError::Unavailable;
}

} // namespace

struct ControlStore::Private
{
    TableService &table;
    ObjectStore &objects;

    auto handleRows(Revision after, const std::vector<TableRow> &rows, ReadCallback done) -> void
    {
        const auto changes = parseChanges(rows);
        if (!changes) {
            done(tl::unexpected(changes.error()));
            return;
        }
        if (!changes->empty() && changes->front().revision > after + 1) {
            readSnapshot(std::move(done));
            return;
        }
        StoreAnswer answer;
        answer.head = changes->empty() ? after : changes->back().revision;
        // A read that reaches the limit may have left out rows. A head beyond the last one makes
        // the reader read again.
        if (changes->size() >= Control::Constants::MaxChangesPerRead)
            answer.head += 1;
        answer.changes = *changes;
        done(answer);
    }

    auto readSnapshot(ReadCallback done) -> void
    {
        objects.read(snapshotName, [done = std::move(done)](const auto &content) {
            if (!content) {
                done(tl::unexpected(ControlStoreError::Unavailable));
                return;
            }
            const json snapshot = json::parse(*content, nullptr, false);
            if (!snapshot.is_object() || !snapshot.contains("revision")) {
                done(tl::unexpected(ControlStoreError::Damaged));
                return;
            }
            StoreAnswer answer;
            answer.snapshot = snapshot;
            // A head beyond the snapshot makes the reader read the changes that follow it.
            answer.head = snapshot["revision"].template get<Revision>() + 1;
            done(answer);
        });
    }
};

ControlStore::ControlStore(TableService &table, ObjectStore &objects)
    : d(std::make_shared<Private>(Private{table, objects}))
{ }

ControlStore::~ControlStore() = default;

auto ControlStore::readAfter(Revision after, ReadCallback done) -> void
{
    const auto onRows = [data = d, after, done = std::move(done)](const auto &rows) {
        if (rows)
            data->handleRows(after, *rows, done);
        else
            done(tl::unexpected(toStoreError(rows.error())));
    };
    d->table.scan(logKey(after + 1), logEnd(), Control::Constants::MaxChangesPerRead, onRows);
}

auto ControlStore::commit(const Change &change, const std::vector<TableCondition> &conditions,
                          CommitCallback done) -> void
{
    // Each revision writes the head row once, so its version equals the revision.
    TableTransaction transaction;
    transaction.conditions = conditions;
    transaction.conditions.push_back({headKey, change.revision - 1});
    transaction.writes.push_back({headKey, json{{"revision", change.revision}}});
    transaction.writes.push_back({logKey(change.revision), Control::toJson(change)});
    d->table.commit(transaction, [done = std::move(done)](const auto &result) {
        if (result)
            done({});
        else
            done(tl::unexpected(toStoreError(result.error())));
    });
}

auto ControlStore::writeSnapshot(const Control::ControlState &state) -> void
{
    const Revision revision = state.revision();
    const auto deleteOldRows = [data = d, revision](const auto &written) {
        if (!written || revision <= Control::Constants::MaxKeptChanges)
            return;
        TableTransaction transaction;
        const Revision last = revision - Control::Constants::MaxKeptChanges;
        const Revision first = last > Control::Constants::SnapshotInterval
            ? last - Control::Constants::SnapshotInterval
            : 1;
        for (Revision old = first; old <= last; ++old)
            transaction.writes.push_back({logKey(old), std::nullopt});
        data->table.commit(transaction, [](const auto &) {});
    };
    d->objects.write(snapshotName, state.toSnapshot().dump(), deleteOldRows);
}

} // namespace Storage
