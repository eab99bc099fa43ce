#include "commands.h"

#include "logcommands.h"
#include "session.h"

#include <app/daemon.h>
#include <operations/rulemerge.h>
#include <protocol/codec.h>
#include <rules/ruleparser.h>
#include <rules/rulesfile.h>
#include <utils/hashing.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

using App::CommandLine;
using App::ExitCode::BadUsage;
using App::ExitCode::Failure;
using App::ExitCode::Success;
using nlohmann::json;
using StringList = std::vector<std::string>;

namespace {

/// A rules file that was read and parsed.
struct RulesFile
{
    std::string text;
    std::vector<Rules::Rule> rules;
};

auto fail(const std::string &message, int exitCode) -> int
{
    std::cerr << "acaciactl: " << message << '\n';
    return exitCode;
}

/// Prints the errors and returns nothing if the file is unreadable or invalid.
auto readRules(const std::string &path) -> std::optional<RulesFile>
{
    std::ifstream file(path);
    if (!file) {
        fail(path + ": cannot be read", Failure);
        return std::nullopt;
    }
    RulesFile result;
    result.text.assign(std::istreambuf_iterator<char>(file), {});
    const auto rules = Rules::parseRulesFile(result.text);
    if (rules) {
        result.rules = *rules;
        return result;
    }
    for (const auto &error : rules.error())
        std::cerr << error.toString(path) << '\n';
    return std::nullopt;
}

auto runCheck(const CommandLine &line, const StringList &arguments) -> int
{
    const auto file = readRules(arguments[0]);
    if (!file)
        return Failure;
    if (line.has("json"))
        std::cout << json{{"rules", file->rules.size()}}.dump() << '\n';
    else
        std::cout << arguments[0] << ": " << file->rules.size() << " rules, no errors\n";
    return Success;
}

/// Connects to the fleet and reads its state; on failure prints the error and sets `exitCode`.
auto openSession(const CommandLine &line, int &exitCode) -> std::unique_ptr<Session>
{
    auto session = Session::open(line);
    if (!session) {
        exitCode = fail(session.error(), BadUsage);
        return nullptr;
    }
    if (!(*session)->refresh()) {
        exitCode = CtlExitCode::StoreUnavailable;
        return nullptr;
    }
    return std::move(*session);
}

auto printConflicts(const std::vector<Operations::LineConflict> &conflicts) -> void
{
    for (const auto &conflict : conflicts) {
        std::cerr << "conflict on " << conflict.key
                  << "\n  yours:  " << (conflict.mine.empty() ? "(removed)" : conflict.mine)
                  << "\n  theirs: " << (conflict.theirs.empty() ? "(removed)" : conflict.theirs)
                  << '\n';
    }
}

auto printChanges(const Operations::MergeResult &merge, bool asJson) -> void
{
    json list = json::array();
    for (const auto &change : merge.changes) {
        list.push_back({{"before", change.before}, {"after", change.after}});
        if (asJson)
            continue;
        if (!change.before.empty())
            std::cout << "- " << change.before << '\n';
        if (!change.after.empty())
            std::cout << "+ " << change.after << '\n';
    }
    if (asJson)
        std::cout << json{{"changes", list}}.dump() << '\n';
    else if (merge.changes.empty())
        std::cout << "no changes\n";
}

auto runDiff(const CommandLine &line, const StringList &arguments) -> int
{
    const auto file = readRules(arguments[0]);
    if (!file)
        return Failure;
    int exitCode = Success;
    const auto session = openSession(line, exitCode);
    if (!session)
        return exitCode;
    const auto &state = session->client().state();
    const auto base = Operations::baseRevisionOf(file->text).value_or(state.revision());
    const auto merge = Operations::mergeRules(state, base, file->rules);
    printChanges(merge, session->isJson());
    printConflicts(merge.conflicts);
    return merge.conflicts.empty() ? Success : CtlExitCode::Conflict;
}

auto runApply(const CommandLine &line, const StringList &arguments) -> int
{
    const auto file = readRules(arguments[0]);
    if (!file)
        return Failure;
    int exitCode = Success;
    const auto session = openSession(line, exitCode);
    if (!session)
        return exitCode;
    const auto base =
        Operations::baseRevisionOf(file->text).value_or(session->client().state().revision());
    const auto edit = [&file, base](const Control::ControlState &state)
        -> Utils::Result<Storage::ControlEdit, std::string> {
        const auto merge = Operations::mergeRules(state, base, file->rules);
        if (merge.conflicts.empty())
            return merge.edit;
        printConflicts(merge.conflicts);
        return tl::unexpected(std::string("another operator has changed the same lines"));
    };
    return session->commit({session->person(), "apply " + arguments[0], edit});
}

auto runShow(const CommandLine &line, const StringList &) -> int
{
    int exitCode = Success;
    const auto session = openSession(line, exitCode);
    if (!session)
        return exitCode;
    std::cout << Operations::rulesFileText(session->client().state());
    return Success;
}

auto runHistory(const CommandLine &line, const StringList &) -> int
{
    int exitCode = Success;
    const auto session = openSession(line, exitCode);
    if (!session)
        return exitCode;
    for (const auto &change : session->client().state().keptChanges()) {
        if (session->isJson()) {
            std::cout << Control::toJson(change).dump() << '\n';
            continue;
        }
        std::cout << change.revision << '\t' << change.author << '\t' << change.reason << '\n';
        for (const auto &[key, value] : change.puts)
            std::cout << "\t+ " << (value.contains("text") ? value["text"].get<std::string>() : key)
                      << '\n';
        for (const auto &key : change.deletes)
            std::cout << "\t- " << key << '\n';
    }
    return Success;
}

auto printStatus(const std::string &name, const Control::RegisteredInstance &instance,
                 const json *answer) -> void
{
    std::cout << name << '\t' << instance.role << '\t' << instance.failureDomain << '\t'
              << instance.address << '\t';
    if (!answer) {
        std::cout << "no answer\n";
        return;
    }
    std::cout << "revision " << (*answer)["revision"] << '\t'
              << ((*answer)["mayAct"] == true ? "acts" : "does not act") << '\t' << "age "
              << (*answer)["controlAge"].get<double>() << " s\n";
}

auto runStatus(const CommandLine &line, const StringList &) -> int
{
    int exitCode = Success;
    const auto session = openSession(line, exitCode);
    if (!session)
        return exitCode;
    const auto answers = session->queryAll("", Protocol::Path::status, json::object());
    const auto &state = session->client().state();
    if (session->isJson()) {
        std::cout << json{{"revision", state.revision()}, {"instances", answers}}.dump() << '\n';
        return Success;
    }
    std::cout << "revision " << state.revision() << ", " << answers.size() << " of "
              << state.registry().size() << " instances answer\n";
    for (const auto &[name, instance] : state.registry()) {
        const auto answer = answers.find(name);
        printStatus(name, instance, answer == answers.end() ? nullptr : &answer->second);
    }
    return Success;
}

auto printDecision(const json &decision) -> void
{
    static const StringList fields = {"requestId", "customer", "path",         "model",   "server",
                                      "outcome",   "refusal",  "attempts",     "seconds", "rule",
                                      "line",      "person",   "ruleRevision", "revision"};
    for (const auto &field : fields) {
        if (decision.contains(field) && decision[field] != json(""))
            std::cout << field << ": "
                      << (decision[field].is_string() ? decision[field].get<std::string>()
                                                      : decision[field].dump())
                      << '\n';
    }
}

auto runExplain(const CommandLine &line, const StringList &arguments) -> int
{
    if (arguments.size() > 1)
        return explainFromLogs(line, arguments);
    int exitCode = Success;
    const auto session = openSession(line, exitCode);
    if (!session)
        return exitCode;
    const auto answers =
        session->queryAll("entry", Protocol::Path::explain, {{"requestId", arguments[0]}});
    for (const auto &[name, answer] : answers) {
        if (answer.is_null())
            continue;
        if (session->isJson()) {
            std::cout << answer.dump() << '\n';
        } else {
            std::cout << "entry: " << name << '\n';
            printDecision(answer);
        }
        return Success;
    }
    return fail("none of the entries that answered knows request " + arguments[0], Failure);
}

/// Adds or replaces a single line of the rules in force.
auto commitRule(const CommandLine &line, const std::string &text) -> int
{
    const auto rule = Rules::parseRule(text, 0);
    if (!rule || !*rule)
        return fail(rule ? "empty rule" : rule.error().toString("rule"), Failure);
    int exitCode = Success;
    const auto session = openSession(line, exitCode);
    if (!session)
        return exitCode;
    const std::string itemKey = Control::ruleItemPrefix + (*rule)->key();
    const json item = Control::ruleItem(**rule);
    const auto edit = [itemKey, item](const Control::ControlState &state)
        -> Utils::Result<Storage::ControlEdit, std::string> {
        Storage::ControlEdit result;
        const auto *known = state.item(itemKey);
        if (!known || known->value != item)
            result.puts[itemKey] = item;
        return result;
    };
    return session->commit({session->person(), text, edit});
}

auto commitRuleRemoval(const CommandLine &line, const std::string &ruleKey,
                       const std::string &reason) -> int
{
    int exitCode = Success;
    const auto session = openSession(line, exitCode);
    if (!session)
        return exitCode;
    const std::string itemKey = Control::ruleItemPrefix + ruleKey;
    const auto edit = [itemKey, ruleKey](const Control::ControlState &state)
        -> Utils::Result<Storage::ControlEdit, std::string> {
        Storage::ControlEdit result;
        if (!state.item(itemKey))
            return tl::unexpected("there is no line " + ruleKey);
        result.deletes.push_back(itemKey);
        return result;
    };
    return session->commit({session->person(), reason, edit});
}

auto attributionComment(const CommandLine &line) -> std::string
{
    const char *user = std::getenv("USER");
    return "   # asked by " + line.value("as", user ? user : "unknown");
}

/// The hash of the key in a file. Keys are read from files to keep them off command lines.
auto keyHashFrom(const std::string &argument) -> std::string
{
    const std::string prefix = "sha256:";
    if (argument.rfind(prefix, 0) == 0)
        return argument.substr(prefix.size());
    std::ifstream file(argument);
    std::string key;
    return std::getline(file, key) && !key.empty() ? Utils::sha256Hex(key) : std::string();
}

auto runKeyGrant(const CommandLine &line, const StringList &arguments) -> int
{
    const std::string hash = keyHashFrom(arguments[1]);
    if (hash.empty())
        return fail(arguments[1] + ": expected a file with a key, or sha256:HASH", Failure);
    return commitRule(
        line, "key sha256:" + hash + " customer " + arguments[0] + attributionComment(line));
}

auto runKeyWithdraw(const CommandLine &line, const StringList &arguments) -> int
{
    const std::string hash = keyHashFrom(arguments[0]);
    if (hash.empty())
        return fail(arguments[0] + ": expected a file with a key, or sha256:HASH", Failure);
    int exitCode = Success;
    const auto session = openSession(line, exitCode);
    if (!session)
        return exitCode;
    const auto edit = [hash](const Control::ControlState &state)
        -> Utils::Result<Storage::ControlEdit, std::string> {
        return Operations::withdrawKey(state, hash);
    };
    return session->commit({session->person(), "withdraw key " + hash, edit});
}

auto runDrain(const CommandLine &line, const StringList &arguments) -> int
{
    if (line.has("undo"))
        return commitRuleRemoval(line, "drain/" + arguments[0], "undo drain " + arguments[0]);
    return commitRule(line, "drain " + arguments[0] + attributionComment(line));
}

auto runHash(const CommandLine &, const StringList &arguments) -> int
{
    const std::string hash = keyHashFrom(arguments[0]);
    if (hash.empty())
        return fail(arguments[0] + ": expected a file with a key", Failure);
    std::cout << "sha256:" << hash << '\n';
    return Success;
}

} // namespace

auto commands() -> const std::vector<Command> &
{
    static const std::vector<Command> all = {
        {"check", "FILE", "check a rules file without touching the fleet", 1, runCheck},
        {"diff", "FILE", "show what applying the file would change", 1, runDiff},
        {"apply", "FILE", "put the file's rules into force", 1, runApply},
        {"show", "", "print the rules in force and their revision", 0, runShow},
        {"history", "", "print the recorded changes and their authors", 0, runHistory},
        {"status", "", "print each instance and whether it acts", 0, runStatus},
        {"explain", "REQUEST-ID [LOG...]",
         "explain why a request was answered or refused, from gateways' logs (- is standard input) "
         "or, without logs, by asking the entries",
         1, runExplain, true},
        {"losses", "LOG...",
         "count by cause the requests in gateways' logs that were not served or served late", 1,
         runLosses, true},
        {"key grant", "CUSTOMER KEYFILE|sha256:HASH", "assign a key to a customer", 2, runKeyGrant},
        {"key withdraw", "KEYFILE|sha256:HASH", "revoke a key", 1, runKeyWithdraw},
        {"key hash", "KEYFILE", "print a key's hash for a rules file", 1, runHash},
        {"drain", "SERVER", "send a backend server no new requests; with --undo, resume", 1,
         runDrain},
    };
    return all;
}
