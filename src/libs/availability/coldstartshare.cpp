#include "coldstartshare.h"

#include "availabilityconstants.h"
#include "coldstartdescription.h"
#include "coldstarttolerance.h"

#include <algorithm>

namespace Availability {

auto ColdStartShare::create(const ColdStartDescription &service,
                            const ColdStartTolerance &tolerance, int gatewayCount) -> ColdStartShare
{
    const double limit = service.perSecond * tolerance.factor + tolerance.extraRequests;
    const double budget = limit / Constants::MaxDisjointViews;
    if (budget < 1)
        return {};
    const int most = std::clamp(gatewayCount, 1, Constants::MaxSendingGateways);
    const double wanted = std::clamp(budget / Constants::MinShareRequests, 1.0, double(most));
    ColdStartShare share;
    share.gateways = static_cast<int>(wanted);
    share.perSecond = std::min(service.perSecond, budget - share.gateways) / share.gateways;
    return share;
}

} // namespace Availability
