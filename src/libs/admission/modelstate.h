#pragma once

#include <utils/timepoint.h>

#include <optional>

namespace Admission {

/// What a gateway knows of the model that a request needs.
struct ModelState
{
    bool isHeld = true; ///< Some server holds it, or the service has no models.
    /// Shortest load time according to the configuration and the known copies.
    std::optional<Utils::Duration> loadTime;
};

} // namespace Admission
