#pragma once

#include <admission/modelstate.h>

namespace Admission {
struct WaitingRequest;
}

namespace Gateway {

class BackendRegistry;
class Configuration;

/// Whether the request's model is held, and the shortest time to load it from the known copies.
/// `configuration` may be null.
auto modelStateOf(const BackendRegistry &registry, const Configuration *configuration,
                  const Admission::WaitingRequest &request) -> Admission::ModelState;

} // namespace Gateway
