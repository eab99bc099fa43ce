// Generation of completions in a stand-in engine.

#include "standinengine_p.h"

namespace StandIns {

auto StandInEngine::Private::run(const ExchangePointer &exchange) -> void
{
    const json body = json::parse(exchange->request().body, nullptr, false);
    const std::string model = body.is_object() ? Utils::fieldOr(body, "model", "") : std::string();
    if (options.mayCrash && exchange->request().body.find(crashWord) != std::string::npos)
        _exit(crashExitCode);
    const auto found = models.find(model);
    if (found == models.end() || found->second.isLoading) {
        respond(exchange, notFound, {{"error", "model is not loaded"}});
        return;
    }
    ++runs;
    faults.apply(
        reactor, "runs", [] {}, [this, exchange, body] { startGeneration(exchange, body); });
}

auto StandInEngine::Private::startGeneration(const ExchangePointer &exchange, const json &body)
    -> void
{
    const auto generation = std::make_shared<Generation>();
    generation->exchange = exchange;
    generation->model = Utils::fieldOr(body, "model", "");
    beginUse(generation->model);
    generation->isChat = body.contains("messages");
    generation->prompt =
        generation->isChat ? body["messages"].dump() : Utils::fieldOr(body, "prompt", "");
    generation->requestedTokens =
        std::clamp(Utils::fieldOr(body, "max_tokens", defaultTokens), 1, maxTokens);
    generation->isStream = Utils::fieldOr(body, "stream", false);
    const auto &headers = exchange->request().headers;
    const auto id = headers.find("x-request-id");
    generation->id = id == headers.end() ? Utils::randomHex(8) : id->second;
    generations[generation->id] = generation;
    if (generation->isStream)
        exchange->begin(ok, {{"Content-Type", "text/event-stream"}});
    reactor.callAfter(options.firstTokenTime, [this, generation] { generateToken(generation); });
}

auto StandInEngine::Private::generateToken(const std::shared_ptr<Generation> &generation) -> void
{
    if (generation->isCancelled || !generation->exchange->isOpen()) {
        generations.erase(generation->id);
        endUse(generation->model);
        return;
    }
    const std::string text = tokenText(generation->prompt, generation->generatedTokens++);
    generation->text += text;
    if (generation->isStream)
        generation->exchange->write(
            "data: " + json{{"choices", {choiceOf(*generation, text, true)}}}.dump() + "\n\n");
    if (generation->generatedTokens >= generation->requestedTokens)
        finishGeneration(generation);
    else
        reactor.callAfter(options.tokenTime, [this, generation] { generateToken(generation); });
}

auto StandInEngine::Private::finishGeneration(const std::shared_ptr<Generation> &generation) -> void
{
    generations.erase(generation->id);
    endUse(generation->model);
    if (!generation->isStream) {
        respond(generation->exchange, ok,
                {{"id", generation->id},
                 {"choices", {choiceOf(*generation, generation->text, false)}},
                 {"usage", usageOf(*generation)}});
        return;
    }
    const json last = {{"choices", json::array()}, {"usage", usageOf(*generation)}};
    generation->exchange->write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
    generation->exchange->end();
}

auto StandInEngine::Private::cancel(const ExchangePointer &exchange, const std::string &id) -> void
{
    const auto found = generations.find(id);
    if (found != generations.end()) {
        found->second->isCancelled = true;
        ++cancels;
    }
    respond(exchange, ok, json::object());
}

auto expectedCompletion(const std::string &prompt, int tokens) -> std::string
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += tokenText(prompt, i);
    return text;
}

} // namespace StandIns
