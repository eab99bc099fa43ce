#include "crashfeature.h"

#include <utils/rendezvous.h>

#include <algorithm>
#include <charconv>

namespace Routing {

namespace {

/// Parts of one prompt that are considered.
constexpr size_t MaxParts = 64;
constexpr char RequestPrefix = 'r';
constexpr char PartPrefix = 'p';
constexpr int HexBase = 16;

} // namespace

auto CrashFeature::toString() const -> std::string
{
    constexpr size_t maxDigits = 16;
    std::string digits(maxDigits, '0');
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), hash, HexBase).ptr;
    digits.resize(static_cast<size_t>(end - digits.data()));
    return (kind == Kind::Request ? RequestPrefix : PartPrefix) + digits;
}

auto CrashFeature::fromString(const std::string &text) -> std::optional<CrashFeature>
{
    if (text.size() < 2 || (text.front() != RequestPrefix && text.front() != PartPrefix))
        return {};
    CrashFeature feature;
    feature.kind = text.front() == RequestPrefix ? Kind::Request : Kind::Part;
    const char *const end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + 1, end, feature.hash, HexBase);
    if (read.ec != std::errc() || read.ptr != end)
        return {};
    return feature;
}

auto crashFeaturesOf(const std::string &customer, const std::string &target,
                     const std::string &body, const std::vector<std::string> &parts)
    -> std::vector<CrashFeature>
{
    std::vector<CrashFeature> features;
    features.push_back(
        {CrashFeature::Kind::Request, Utils::stableHash(customer + '\n' + target + '\n' + body)});
    for (size_t i = 0; i + 1 < parts.size() && i < MaxParts; ++i) {
        const CrashFeature feature = {CrashFeature::Kind::Part, Utils::stableHash(parts[i])};
        if (std::find(features.begin(), features.end(), feature) == features.end())
            features.push_back(feature);
    }
    return features;
}

} // namespace Routing
