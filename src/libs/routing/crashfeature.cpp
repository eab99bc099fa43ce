#include "crashfeature.h"

#include <utils/rendezvous.h>

#include <algorithm>
#include <charconv>
#include <functional>

namespace Routing {

namespace {

/// Parts of one prompt that are considered.
constexpr size_t MaxParts = 64;
constexpr char RequestPrefix = 'r';
constexpr char RunPrefix = 'w';
constexpr char PartPrefix = 'p';
constexpr int HexBase = 16;

auto prefixOf(CrashFeature::Kind kind) -> char
{
    switch (kind) {
    case CrashFeature::Kind::Request:
        return RequestPrefix;
    case CrashFeature::Kind::Run:
        return RunPrefix;
    case CrashFeature::Kind::Part:
        break;
    }
    return PartPrefix;
}

auto isRun(const CrashFeature &feature) -> bool
{
    return feature.kind == CrashFeature::Kind::Run;
}

} // namespace

auto CrashFeature::toString() const -> std::string
{
    constexpr size_t maxDigits = 16;
    std::string digits(maxDigits, '0');
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), hash, HexBase).ptr;
    digits.resize(static_cast<size_t>(end - digits.data()));
    return prefixOf(kind) + digits;
}

auto CrashFeature::fromString(const std::string &text) -> std::optional<CrashFeature>
{
    CrashFeature feature;
    const auto hasPrefix = [&text](Kind expected) {
        return text.size() >= 2 && text.front() == prefixOf(expected);
    };
    if (hasPrefix(Kind::Run))
        feature.kind = Kind::Run;
    else if (hasPrefix(Kind::Part))
        feature.kind = Kind::Part;
    else if (!hasPrefix(Kind::Request))
        return {};
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

auto withRun(std::vector<CrashFeature> features) -> std::vector<CrashFeature>
{
    for (size_t i = 0; i < features.size(); ++i) {
        if (features[i].kind == CrashFeature::Kind::Request)
            features.push_back({CrashFeature::Kind::Run, features[i].hash});
    }
    return features;
}

auto suspectsOf(const std::vector<CrashFeature> &features, bool hasOutlivedBeginning)
    -> std::vector<CrashFeature>
{
    auto suspects = features;
    if (hasOutlivedBeginning)
        std::erase_if(suspects, std::not_fn(isRun));
    return suspects;
}

auto clearedBy(const std::vector<CrashFeature> &features, bool isWhole) -> std::vector<CrashFeature>
{
    auto cleared = features;
    if (!isWhole)
        std::erase_if(cleared, isRun);
    return cleared;
}

} // namespace Routing
