#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Rules {

/// Where a rule comes from: the text of its line, who asked for it, and when it took effect.
struct RuleSource
{
    std::string text;
    std::string person;
    int line = 0;
    std::uint64_t revision = 0;
};

/// A customer's contract: tokens a second, burst in tokens, weight among other customers.
struct CustomerRule
{
    std::string name;
    double rate = 0;
    double burst = 0;
    double weight = 1;
    std::vector<std::string> keyHashes;
};

/// One more key of a customer, as the SHA-256 of the key in hexadecimal digits.
struct KeyRule
{
    std::string keyHash;
    std::string customer;
};

/// A model: the group of engines that may hold it, how many at once, and its size in bytes.
struct ModelRule
{
    std::string name;
    std::string engines;
    int replicas = 1;
    std::uint64_t memoryBytes = 0;
};

/// An adapter on top of a model, with its own size in bytes.
struct AdapterRule
{
    std::string name;
    std::string model;
    std::uint64_t memoryBytes = 0;
};

/// Where a submission that may run at most once carries its identity.
struct IdentitySource
{
    enum class Place { Header, Field };
    Place place = Place::Header;
    std::string name;
};

/// A route to a plain service. A set `once` means that the call may not be repeated.
struct RouteRule
{
    std::string method;
    std::string path;
    std::string service;
    std::optional<IdentitySource> once;
};

/// A route that needs no key. Without a service the entry answers with its own state.
struct OpenRule
{
    std::string method;
    std::string path;
    std::string service;
};

/// A backend server that gets no new work.
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

    /// Identity among all rules, such as "model/narrative-3"; two lines may not share it.
    auto key() const -> std::string;
};

} // namespace Rules
