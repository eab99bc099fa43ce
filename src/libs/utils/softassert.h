#pragma once

#include <utils/eventlog.h>

/// Logs a condition that does not hold and runs `action` (usually `return`); never ends the
/// process.
#define ACACIA_ASSERT(condition, action)                                                           \
    if (condition) {                                                                               \
    } else {                                                                                       \
        Utils::logEvent(Utils::Event::AssertionFailed,                                             \
                        {{"condition", #condition}, {"file", __FILE__}, {"line", __LINE__}});      \
        action;                                                                                    \
    }
