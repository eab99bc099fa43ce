#include "resourcelimits.h"

#include "resourceconstants.h"

#include <algorithm>

namespace Resources {

auto ResourceLimits::create(int memoryMb, int maxFds) -> ResourceLimits
{
    using namespace Constants;
    constexpr int megabyteBits = 20;
    const size_t total = static_cast<size_t>(std::max(memoryMb, 1)) << megabyteBits;
    // A machine that is too small for its own needs still serves small requests.
    const size_t rest = std::max(total - std::min(total, OwnBytes), total / 4);
    const auto partOf = [](size_t whole, double share) {
        return static_cast<size_t>(static_cast<double>(whole) * share);
    };
    ResourceLimits limits;
    limits.memoryBytes = partOf(rest, ClientShare);
    limits.receivingBytes = partOf(limits.memoryBytes, ReceivingShare);
    limits.answerBytes = partOf(limits.memoryBytes, AnswerShare);
    const int descriptors = std::max(maxFds - FileDescriptors - OwnDescriptors, 0);
    limits.connections =
        std::max<size_t>(partOf(static_cast<size_t>(descriptors), ClientDescriptorShare),
                         static_cast<size_t>(MinClientConnections));
    return limits;
}

} // namespace Resources
