#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Rules {

/// Origin of a rule: the text and number of its line, the person who requested it, and the revision
/// that it took effect with.
struct RuleSource
{
    std::string text;
    std::string person;
    int line = 0;
    std::uint64_t revision = 0;
};

/// A customer's contract: rate in tokens a second, burst in tokens, weight relative to other
/// customers.
struct CustomerRule
{
    std::string name;
    double rate = 0;
    double burst = 0;
    double weight = 1;
    std::vector<std::string> keyHashes;
};

/// An additional key of a customer, as the SHA-256 of the key in hexadecimal digits.
struct KeyRule
{
    std::string keyHash;
    std::string customer;
};

/// A model: the group of engines that may hold it, how many of them hold it at once, and its size
/// in bytes.
struct ModelRule
{
    std::string name;
    std::string engines;
    int replicas = 1;
    std::uint64_t memoryBytes = 0;
};

/// An adapter for a model; its size in bytes excludes the model.
struct AdapterRule
{
    std::string name;
    std::string model;
    std::uint64_t memoryBytes = 0;
};

/// Where a request carries its identity if it may run at most once.
struct IdentitySource
{
    enum class Place { Header, Field };
    Place place = Place::Header;
    std::string name;
};

/// A route to a plain service. If `once` is set, a call may run at most once; repeated calls are
/// recognised by this identity.
struct RouteRule
{
    std::string method;
    std::string path;
    std::string service;
    std::optional<IdentitySource> once;
};

/// A route that needs no key. If no service is set, the entry answers with its own state.
struct OpenRule
{
    std::string method;
    std::string path;
    std::string service;
};

/// A backend server to which no new requests are sent.
struct DrainRule
{
    std::string backendServer;
};

using RuleBody =
    std::variant<CustomerRule, KeyRule, ModelRule, AdapterRule, RouteRule, OpenRule, DrainRule>;

/// One line of the rules file.
struct Rule
{
    RuleBody body;
    RuleSource source;

    /// Unique key among all rules, such as "model/narrative-3". A rules file with two equal keys is
    /// rejected.
    auto key() const -> std::string;
};

} // namespace Rules
