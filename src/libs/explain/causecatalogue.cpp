#include "causecatalogue.h"

#include <algorithm>

namespace Explain {

auto causeCatalogue() -> const std::vector<CauseDescription> &
{
    static const std::vector<CauseDescription> catalogue = {
        {"older-configuration", "404 or 401 from a configuration older than another gateway's"},
        {"unknown-route", "404, and no gateway is known to have had a newer configuration"},
        {"wrong-key", "401, and no gateway is known to have had a newer configuration"},
        {"over-contract", "the customer's quota was used up"},
        {"load-no-duty", "no gateway held the placement duty while the request waited"},
        {"load-not-ordered", "no order was given, for this model or any other"},
        {"load-engines-busy", "orders were given for other models, but none for this one"},
        {"load-rejected", "the engine did not accept the order"},
        {"load-unanswered", "the answer to the order was lost"},
        {"load-failed", "the engine did not load the model"},
        {"load-unconfirmed", "the load was ordered but not confirmed in time"},
        {"load-not-used", "the load was confirmed in time, but the request was not sent there"},
        {"load-undone", "the model or its adapter was unloaded while the request waited"},
        {"load-without-adapter", "the model was loaded in time, but its adapter was not ordered"},
        {"load-log-missing", "the logs don't cover the gateway that gave the orders"},
        {"load-while-retrying", "the request was sent but not run, and found no engine afterwards"},
        {"server-died", "the server broke off the answer and soon was gone or restarted"},
        {"server-left", "the server broke off the answer after announcing that it leaves"},
        {"answer-broken", "the server broke off the answer and kept running"},
        {"retry-budget", "the request could have been retried, but the budget was used up"},
        {"deadline-passed", "the request was sent, but its deadline passed"},
        {"server-paused", "a server that it was sent to asked for a pause in requests"},
        {"server-limit", "the limit that the server had named left no room in time"},
        {"no-server", "no server could accept the request"},
        {"server-error", "the server itself answered with an error status"},
        {"gateway-stopping", "the gateway was stopping"},
        {"caller-left-waiting", "the caller left before the request was sent"},
        {"caller-left-running", "the caller left after the request was sent"},
        {"late-repeat", "served late after more than one send"},
        {"late-load", "served late; the model's load was ordered or confirmed in that time"},
        {"late-pause", "the answer began in time but had a long pause"},
        {"late-answer", "served late with one send; the logs show no order for the model"},
        {"other-refusal", "any other refusal; its outcome is given"},
    };
    return catalogue;
}

auto meaningOf(std::string_view cause) -> std::string_view
{
    const auto &all = causeCatalogue();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [cause](const auto &entry) { return entry.name == cause; });
    return found == all.end() ? std::string_view() : found->meaning;
}

} // namespace Explain
