#include "requestend.h"

#include <utils/jsonfield.h>

namespace Explain {

using std::chrono::milliseconds;
using Utils::Event;

auto RequestFailures::addLine(const LogLine &line) -> void
{
    if (line.event == Event::StreamEnded) {
        failedServer = line.text("server");
        failedAt = line.time;
    }
    if (line.event == Event::BackendPaused)
        pausedServer = line.text("server");
    if (line.event == Event::PermitRefused) {
        limitedServer = line.text("server");
        const auto number = [&line](const char *name) {
            const auto field = line.fields.find(name);
            return field == line.fields.end() ? std::string("?") : field->dump();
        };
        limitText = number("perSecond") + " requests a second, named " + number("limitAgeMs")
            + " ms before; the next permit was " + number("delayMs") + " ms away";
    }
    if (line.event == Event::RequestRetried)
        isRetryDenied = !Utils::fieldOr(line.fields, "granted", true);
}

auto RequestEnd::isEnd(const LogLine &line) -> bool
{
    return line.event == Event::RequestServed || line.event == Event::RequestRefused;
}

auto RequestEnd::fromLine(const LogLine &line) -> RequestEnd
{
    RequestEnd end;
    end.id = line.requestId();
    end.gateway = line.gateway;
    end.outcome = line.text("outcome");
    end.route = line.text("route");
    end.customer = line.text("customer");
    end.model = line.text("model");
    end.server = line.text("server");
    end.status = line.number("status", 0);
    end.sends = line.number("sends", 0);
    end.mayHaveRun = line.number("mayHaveRun", 0);
    end.configuration = line.number("configuration", 0);
    end.tokens = line.number("tokens", 0);
    end.charged = line.number("charged", 0);
    end.isServed = line.event == Event::RequestServed;
    end.endedAt = line.time;
    end.arrivedAt = line.time - milliseconds(line.number("tookMs", 0));
    end.firstEvent = milliseconds(line.number("firstEventMs", -1));
    end.longestPause = milliseconds(line.number("longestPauseMs", 0));
    return end;
}

auto RequestEnd::duration() const -> milliseconds
{
    return endedAt - arrivedAt;
}

auto RequestEnd::answerTime() const -> milliseconds
{
    return firstEvent.count() >= 0 ? firstEvent : duration();
}

auto RequestEnd::isLate(const LateLimits &limits) const -> bool
{
    return isServed && (answerTime() > limits.answer || longestPause > limits.pause);
}

auto RequestEnd::baseModel() const -> std::string_view
{
    return std::string_view(model).substr(0, model.find('/'));
}

auto RequestEnd::adapter() const -> std::string_view
{
    const auto at = model.find('/');
    return at == std::string::npos ? std::string_view() : std::string_view(model).substr(at + 1);
}

} // namespace Explain
