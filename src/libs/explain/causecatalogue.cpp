#include "causecatalogue.h"

#include <algorithm>

namespace Explain {

auto causeCatalogue() -> const std::vector<CauseDescription> &
{
    static const std::vector<CauseDescription> catalogue = {
        {"older-configuration", "404 or 401 by a configuration older than another gateway's"},
        {"unknown-route", "404, and no gateway is known to have had a newer configuration"},
        {"wrong-key", "401, and no gateway is known to have had a newer configuration"},
        {"over-contract", "the customer's quota was used up"},
        {"load-no-duty", "nobody held the placement duty while the request waited"},
        {"load-not-ordered", "the model was not ordered; nor was any other"},
        {"load-engines-busy", "the model was not ordered; other models were"},
        {"load-rejected", "the engine did not accept the order"},
        {"load-unanswered", "the answer to the order was lost"},
        {"load-failed", "the engine did not load the model"},
        {"load-unconfirmed", "the load was ordered and not confirmed in time"},
        {"load-not-used", "the load was confirmed in time, and the request not sent there"},
        {"load-undone", "the model or its adapter was unloaded while the request waited"},
        {"load-without-adapter", "the model was loaded in time, and its adapter not ordered"},
        {"load-log-missing", "the logs don't cover who gave the orders while it waited"},
        {"load-while-retrying", "the request was sent, and found no engine again"},
        {"server-died", "the server broke off, and was gone or new soon afterwards"},
        {"server-left", "the server broke off after it had said that it leaves"},
        {"answer-broken", "the server broke off and lived on"},
        {"retry-budget", "the request could have been repeated; the budget was used up"},
        {"deadline-passed", "the request was sent, and its time was over"},
        {"server-paused", "a server that it was sent to wanted no requests for a while"},
        {"no-server", "no server could take the request"},
        {"server-error", "the server answered with a status of its own that is no success"},
        {"gateway-stopping", "the gateway was stopping"},
        {"caller-left-waiting", "the caller left before the request was sent"},
        {"caller-left-running", "the caller left after the request was sent"},
        {"late-repeat", "served late after more than one send"},
        {"late-load", "served late; the model was ordered or loaded in that time"},
        {"late-pause", "served in time at first, then with a long pause"},
        {"late-answer", "served late by one send; the logs show no order for the model"},
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
