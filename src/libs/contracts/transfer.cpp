#include "transfer.h"

#include <cmath>

namespace Contracts {

using nlohmann::json;

namespace {

auto isAmount(double value) -> bool
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

auto toJson(const TransferRequest &request) -> json
{
    return {{"from", request.from},           {"incarnation", request.fromIncarnation},
            {"epoch", request.epoch},         {"customer", request.customer},
            {"requestId", request.requestId}, {"tokens", request.tokens},
            {"recentUse", request.recentUse}};
}

auto transferRequestFromJson(const json &document) -> std::optional<TransferRequest>
{
    try {
        TransferRequest request{document.at("from").get<std::string>(),
                                document.at("incarnation").get<std::string>(),
                                document.at("epoch").get<std::uint64_t>(),
                                document.at("customer").get<std::string>(),
                                document.at("requestId").get<std::string>(),
                                document.at("tokens").get<double>(),
                                document.at("recentUse").get<double>()};
        return isAmount(request.tokens) && isAmount(request.recentUse) ? std::optional(request)
                                                                       : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

auto toJson(const Transfer &transfer) -> json
{
    return {{"from", transfer.from},
            {"incarnation", transfer.fromIncarnation},
            {"to", transfer.to},
            {"toIncarnation", transfer.toIncarnation},
            {"epoch", transfer.epoch},
            {"sequence", transfer.sequence},
            {"customer", transfer.customer},
            {"rate", transfer.amount.rate},
            {"capacity", transfer.amount.capacity},
            {"level", transfer.amount.level}};
}

auto transferFromJson(const json &document) -> std::optional<Transfer>
{
    try {
        Transfer transfer;
        transfer.from = document.at("from").get<std::string>();
        transfer.fromIncarnation = document.at("incarnation").get<std::string>();
        transfer.to = document.at("to").get<std::string>();
        transfer.toIncarnation = document.at("toIncarnation").get<std::string>();
        transfer.epoch = document.at("epoch").get<std::uint64_t>();
        transfer.sequence = document.at("sequence").get<std::uint64_t>();
        transfer.customer = document.at("customer").get<std::string>();
        transfer.amount = {document.at("rate").get<double>(), document.at("capacity").get<double>(),
                           document.at("level").get<double>()};
        const auto &amount = transfer.amount;
        const bool isValid =
            isAmount(amount.rate) && isAmount(amount.capacity) && isAmount(amount.level);
        return isValid ? std::optional(transfer) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Contracts
