#include "modelstates.h"

#include "backendregistry.h"
#include "configuration.h"

#include <admission/waitingrequest.h>

#include <algorithm>

namespace Gateway {

auto modelStateOf(const BackendRegistry &registry, const Configuration *configuration,
                  const Admission::WaitingRequest &request) -> Admission::ModelState
{
    if (registry.isHeld({request.service, request.model, {}, {}, {}}))
        return {};
    const Service *service = configuration ? configuration->findService(request.service) : nullptr;
    if (!service || !service->engine || service->engine->models.count(request.model) == 0)
        return {false, {}};
    const ModelDescription &model = service->engine->models.at(request.model);
    auto shortest = model.storeLoadTime;
    for (const BackendServer *server : registry.servers()) {
        const auto isIn = [&](const std::vector<std::string> &copies) {
            return server->service == request.service
                && std::count(copies.begin(), copies.end(), request.model) > 0;
        };
        if (isIn(server->copiesInMemory))
            shortest = std::min(shortest, model.memoryLoadTime);
        if (isIn(server->copiesOnDisk))
            shortest = std::min(shortest, model.diskLoadTime);
    }
    return {false, shortest};
}

} // namespace Gateway
