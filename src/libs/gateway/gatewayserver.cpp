#include "gatewayserver.h"

#include "backendfollower.h"
#include "backendregistry.h"
#include "callersession.h"
#include "connectionpool.h"
#include "connectprobe.h"
#include "crashtracker.h"
#include "demandtracker.h"
#include "denialcheck.h"
#include "gatewayconstants.h"
#include "gatewaycontext.h"
#include "gatewaysettings.h"
#include "incarnationverifier.h"
#include "leavingnotifier.h"
#include "modelstates.h"
#include "peerlink.h"
#include "permitexchange.h"
#include "placementcoordinator.h"
#include "quotaexchange.h"
#include "quotaledger.h"
#include "requestflow.h"
#include "requestqueue.h"
#include "rowstore.h"
#include "statusserver.h"
#include "storedstreamorigins.h"
#include "suspectexchange.h"
#include "tablefollower.h"
#include "wireformat.h"
#include <availability/stalenessdetector.h>

#include <http1/serverconnection.h>
#include <http1/tcplistener.h>
#include <http1/tcpstream.h>
#include <monitoring/metrics.h>
#include <net/periodictimer.h>
#include <net/reactor.h>
#include <resources/loadshedder.h>
#include <utils/boottime.h>
#include <utils/eventlog.h>
#include <utils/rendezvous.h>

#include <algorithm>
#include <random>

namespace Gateway {

using std::chrono::milliseconds;

namespace {

/// Interval at which waiting requests are dispatched, for servers whose pauses have ended.
constexpr milliseconds DispatchInterval(25);
/// Shortest delay of the event loop that is logged.
constexpr milliseconds LoggedLoopDelay(300);
constexpr milliseconds StopCheckInterval(50);
/// Interval at which the list of gateways that share cold servers is renewed.
constexpr milliseconds KnownGatewaysInterval(500);
/// Delay after which a message to all gateways is sent a second time.
constexpr milliseconds RebroadcastDelay(300);

} // namespace

struct GatewayServer::Private
{
    Private(Net::Reactor &r, const GatewaySettings &s, const WireFormat &w)
        : reactor(r)
        , settings(s)
        , wire(w)
        , registry(s.failureDomain, Utils::stableHash(s.name))
        , pool(r)
        , quota(s.isFirstStart, s.quotaTolerance)
        , requestQueue(r)
        , denialCheck(r,
                      std::chrono::duration_cast<milliseconds>(
                          s.configurationApplyTime * Constants::ConfirmationLifetimeShare),
                      {[this] { configurationFollower->requestConfirmation(); },
                       [this] { return Utils::bootTime() - reactor.now(); }})
        , context{r,      w,           registry, pool,    quota, requestQueue,
                  demand, denialCheck, metrics,  nullptr, {},    nullptr}
    {
        context.shedder = std::make_shared<Resources::LoadShedder>(
            Resources::ResourceLimits::create(s.memoryMb, s.maxFds));
    }

    Net::Reactor &reactor;
    GatewaySettings settings;
    const WireFormat &wire;
    Monitoring::Metrics metrics;
    BackendRegistry registry;
    ConnectionPool pool;
    QuotaLedger quota;
    RequestQueue requestQueue;
    DemandTracker demand;
    DenialCheck denialCheck;
    GatewayContext context;
    CrashTracker crashTracker{[this](const std::string &crash, Utils::TimePoint at,
                                     const CrashTracker::Features &features) {
        suspects->noteCrash(crash, at, features);
    }};
    std::map<std::string, std::unique_ptr<ConnectProbe>> crashProbes; ///< By server.
    StreamBeginnings streamBeginnings{
        [this](const StreamBeginnings::Beginning &stream) { handleUnprovedStream(stream); }};
    IncarnationVerifier incarnationVerifier{
        context, {[this] { return listedUntil(); }, [this] { requestQueue.wake(); }}};
    LeavingNotifier leavingNotifier{registry,
                                    {[this](const nlohmann::json &message) { broadcast(message); },
                                     [this](const std::string &id) {
                                         pool.closeIdleConnections(id);
                                         requestQueue.wake();
                                     }}};
    int gatewayCount = 1;

    std::unique_ptr<TableFollower> configurationFollower;
    std::unique_ptr<BackendFollower> backendFollower;
    std::unique_ptr<PeerLink> link;
    std::unique_ptr<PlacementCoordinator> placement;
    std::unique_ptr<QuotaExchange> quotaExchange;
    std::unique_ptr<PermitExchange> permits;
    std::unique_ptr<SuspectExchange> suspects;
    std::unique_ptr<StoredStreamOrigins> streamOrigins;
    bool isVersionUpdateScheduled = false;
    std::unique_ptr<Http1::TcpListener> callerListener;
    std::unique_ptr<StatusServer> readinessServer;
    std::unique_ptr<StatusServer> metricsServer;
    std::map<CallerSession *, std::unique_ptr<CallerSession>> sessions;
    std::unique_ptr<Net::PeriodicTimer> dispatchTimer;
    std::unique_ptr<Net::PeriodicTimer> logTimer;
    std::unique_ptr<Net::PeriodicTimer> knownGatewaysTimer;
    std::unique_ptr<Net::PeriodicTimer> stopTimer;
    Availability::StalenessDetector configurationStaleness{Constants::ConfigurationLagTimeout};
    Availability::StalenessDetector serverListStaleness{serverListPollInterval()
                                                        + Constants::ServerListLagMargin};
    bool draining = false;
    Utils::TimePoint stopRequestedAt; ///< Set while `draining`.
    std::optional<Utils::TimePoint> lastTickAt;
    Utils::Duration longestDelay{0}; ///< Longest event-loop delay since the metrics were last read.

    auto serverListPollInterval() const -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(settings.leaveNotice
                                                        * Constants::ServerListPollIntervalShare);
    }

    auto placementLimits() const -> PlacementLimits
    {
        PlacementLimits limits = settings.placement;
        limits.isFirstStart = settings.isFirstStart;
        return limits;
    }

    auto isReady() const -> bool
    {
        return !draining && context.configuration && backendFollower->follower().isCaughtUp();
    }

    auto open() -> std::optional<std::string>
    {
        auto callers = Http1::TcpListener::listen(
            reactor, settings.callerAddress,
            [this](std::unique_ptr<Http1::TcpStream> stream) { acceptCaller(std::move(stream)); });
        if (!callers)
            return callers.error();
        callerListener = std::move(*callers);
        auto readiness = StatusServer::listen(
            reactor, settings.readinessAddress,
            [this](const Http1::RequestHead &head) {
                constexpr int ok = 200;
                constexpr int unavailable = 503;
                constexpr int notFound = 404;
                if (!wire.isReadinessRequest(head))
                    return StatusServer::Answer{notFound, {}};
                return StatusServer::Answer{isReady() ? ok : unavailable, {}};
            },
            context.shedder);
        if (!readiness)
            return readiness.error();
        readinessServer = std::move(*readiness);
        auto peers = PeerLink::open(
            reactor, settings.peerAddress,
            [this](const nlohmann::json &message, const Http1::SocketAddress &sender) {
                if (!quotaExchange->takeMessage(message, sender)
                    && !suspects->handleMessage(message, sender)
                    && !leavingNotifier.handleMessage(message)
                    && !permits->handleMessage(message, sender))
                    placement->handleMessage(message, sender);
            });
        if (!peers)
            return peers.error();
        link = std::move(*peers);
        return openMetrics();
    }

    auto openMetrics() -> std::optional<std::string>
    {
        if (!settings.metricsAddress)
            return {};
        auto server = StatusServer::listen(
            reactor, *settings.metricsAddress,
            [this](const Http1::RequestHead &) {
                constexpr int ok = 200;
                setGauges();
                return StatusServer::Answer{ok, metrics.text()};
            },
            context.shedder);
        if (!server)
            return server.error();
        metricsServer = std::move(*server);
        return {};
    }

    auto setGauges() -> void
    {
        const auto age = denialCheck.confirmationAge();
        metrics.set("acacia_configuration_version",
                    context.configuration ? double(context.configuration->version) : 0);
        metrics.set("acacia_configuration_age_seconds", age ? Utils::toSeconds(*age) : -1);
        metrics.set("acacia_store_era",
                    static_cast<double>(configurationFollower->completeVersion().era));
        metrics.set("acacia_evacuated_domains",
                    static_cast<double>(registry.evacuations().domains().size()));
        metrics.set("acacia_cold_servers", registry.coldStarts().coldServers(reactor.now()));
        metrics.set("acacia_client_memory_bytes",
                    static_cast<double>(context.shedder->usedBytes()));
        metrics.set("acacia_client_connections",
                    static_cast<double>(context.shedder->connectionCount()));
        metrics.set("acacia_connections_shed", static_cast<double>(context.shedder->shedCount()));
        metrics.set("acacia_loop_delay_seconds", Utils::toSeconds(longestDelay));
        longestDelay = {};
        for (const auto &[route, count] : requestQueue.admission().scheduler().waitingByRoute())
            metrics.set("acacia_waiting_requests", count, {{"route", route}});
        const auto now = reactor.now();
        const auto oldest = requestQueue.admission().scheduler().oldestArrival().value_or(now);
        metrics.set("acacia_longest_wait_seconds", Utils::toSeconds(now - oldest));
    }

    /// Measures the event-loop delay; must be called every `DispatchInterval`.
    auto measureLoopDelay() -> void
    {
        const auto now = reactor.now();
        const auto delay =
            lastTickAt ? now - *lastTickAt - DispatchInterval : Utils::Duration::zero();
        lastTickAt = now;
        longestDelay = std::max(longestDelay, delay);
        if (delay < LoggedLoopDelay)
            return;
        Utils::logEvent(Utils::Event::LoopDelayed,
                        {{"delayMs", std::chrono::duration_cast<milliseconds>(delay).count()}});
    }

    auto startFollowers(RowStore &store) -> void
    {
        TableFollower::Events events;
        const RowName configurationRow = wire.configurationRow();
        events.onEraChanged = [this](Utils::StoreEra era) {
            placement->handleStoreEra(era);
            streamOrigins->handleStoreEra(era);
        };
        events.onRow = [this, key = configurationRow.key](const Row &row) {
            if (const auto domain = wire.evacuatedDomain(row.key))
                applyEvacuation(*domain, row);
            else if (row.key == key && !row.isRemoved)
                applyConfiguration(row);
        };
        events.onCaughtUp = [] {};
        events.onConfirmed = [this](Utils::TimePoint at) {
            denialCheck.noteStoreAnswer(at, configurationFollower->completeVersion());
        };
        events.onLost = [](StoreError error) {
            Utils::logEvent(Utils::Event::StoreUnavailable,
                            {{"what", "configuration"}, {"error", static_cast<int>(error)}});
        };
        events.onRegained = [] {
            Utils::logEvent(Utils::Event::StoreRegained, {{"what", "configuration"}});
        };
        configurationFollower = std::make_unique<TableFollower>(
            reactor, store, configurationRow.table, milliseconds(0), std::move(events));
        BackendFollower::Events backendEvents;
        backendEvents.onGone = [this](const std::string &id) {
            pool.closeIdleConnections(id);
            crashTracker.noteServerGone(id, reactor.now());
            updateVersionsSoon();
        };
        backendEvents.onChanged = [this] {
            requestQueue.wake();
            updateVersionsSoon();
        };
        backendEvents.onConfirmed = [this](Utils::TimePoint at) {
            updateVersions();
            streamOrigins->noteListConfirmed(at);
        };
        backendEvents.onStarted = [this](const BackendServer &server) {
            const auto startedAfter =
                std::max(listedUntil(), registry.refusedAt(server.id).value_or(listedUntil()));
            streamBeginnings.noteRestart(server.id, server.startedAtMs, startedAfter);
        };
        backendFollower =
            std::make_unique<BackendFollower>(context, store, wire.backendTable(),
                                              serverListPollInterval(), std::move(backendEvents));
        placement = std::make_unique<PlacementCoordinator>(
            context, store, *link,
            PlacementCoordinator::Identity{settings.name, settings.peerAddress}, placementLimits());
        quotaExchange = std::make_unique<QuotaExchange>(
            reactor, quota,
            QuotaExchange::Transport{
                [this] { return placement->peers(); },
                [this](const Http1::SocketAddress &peer, const nlohmann::json &message) {
                    link->send(peer, message);
                }});
        permits = std::make_unique<PermitExchange>(
            reactor, metrics, context.rateLimits, settings.peerAddress,
            PermitExchange::Transport{
                [this] { return placement->knownPeers(); },
                [this](const Http1::SocketAddress &peer, const nlohmann::json &message) {
                    link->send(peer, message);
                },
                [] { return Utils::bootTime(); }},
            [this] { requestQueue.wake(); });
        suspects = std::make_unique<SuspectExchange>(
            reactor, settings.peerAddress,
            SuspectExchange::Transport{
                [this] { return placement->knownPeers(); },
                [this](const Http1::SocketAddress &peer, const nlohmann::json &message) {
                    link->send(peer, message);
                }});
        context.suspects = suspects.get();
        registry.setSendAllowance(permits.get());
        context.permits = permits.get();
        createStreamOrigins(store);
        context.onModelNeeded = [this] { placement->requestUpdate(); };
        context.onQuotaShortage = [this] { quotaExchange->requestMissingQuota(); };
        PlacementCoordinator::CoordinationEvents coordinationEvents;
        coordinationEvents.localKnowledge = [this] {
            return StoreView{configurationFollower->newestRowVersion(),
                             backendFollower->follower().newestRowVersion(), 0,
                             context.configuration ? context.configuration->version : 0};
        };
        coordinationEvents.onPeerKnowledge = [this](const StoreView &peer) {
            configurationStaleness.notePeerVersion(peer.configurationRow, reactor.now());
            denialCheck.notePeerRow(peer.configurationRow,
                                    configurationFollower->completeVersion());
            if (context.configuration && peer.configuration > context.configuration->version)
                denialCheck.noteNewerConfiguration();
            serverListStaleness.notePeerVersion(peer.serverRow, reactor.now());
        };
        coordinationEvents.onStoreRecovered = [this] {
            requeryAll("store back");
            streamOrigins->handleStoreRecovered();
        };
        coordinationEvents.onGatewayCount = [this](int count) { setGatewayCount(count); };
        coordinationEvents.onQuotaSharesConfirmed = [this] { quota.confirmParts(reactor.now()); };
        placement->setCoordinationEvents(std::move(coordinationEvents));
        configurationFollower->start();
        backendFollower->start();
        placement->start();
    }

    auto createStreamOrigins(RowStore &store) -> void
    {
        StoredStreamOrigins::Events events;
        events.onMayBeginChanged = [this] { requestQueue.wake(); };
        events.onLookup = [this](StoredStreamOrigins::Source source) {
            metrics.count("acacia_stream_origins_total",
                          {{"source", StoredStreamOrigins::sourceName(source)}});
        };
        events.suspendedTime = [this] { return Utils::bootTime() - reactor.now(); };
        std::random_device random;
        constexpr int halfBits = 32;
        const auto seed = (std::uint64_t(random()) << halfBits) + random();
        streamOrigins = std::make_unique<StoredStreamOrigins>(reactor, store, settings.isFirstStart,
                                                              seed, std::move(events));
        context.streamOrigins = streamOrigins.get();
        streamOrigins->start();
    }

    auto updateVersionsSoon() -> void
    {
        if (std::exchange(isVersionUpdateScheduled, true))
            return;
        reactor.callAfter(milliseconds(0), [this] { updateVersions(); });
    }

    auto updateVersions() -> void
    {
        isVersionUpdateScheduled = false;
        StoredStreamOrigins::ListedVersions versions;
        for (const BackendServer *server : registry.servers())
            versions[server->service].insert(server->softwareVersion);
        streamOrigins->setListedVersions(versions);
    }

    /// The row's existence counts, whatever its value is.
    auto applyEvacuation(const std::string &domain, const Row &row) -> void
    {
        if (!registry.setEvacuated(domain, !row.isRemoved, reactor.now()))
            return;
        Utils::logEvent(
            row.isRemoved ? Utils::Event::EvacuationEnded : Utils::Event::EvacuationBegun,
            {{"domain", domain}, {"era", row.version.era}, {"rowVersion", row.version.number}});
        requestQueue.wake();
        placement->requestUpdate();
    }

    auto applyConfiguration(const Row &row) -> void
    {
        auto parsed = row.fault ? tl::unexpected(*row.fault) : wire.parseConfiguration(row.value);
        denialCheck.setUnreadable(!parsed);
        if (!parsed) {
            Utils::logEvent(Utils::Event::ConfigurationRejected,
                            {{"era", row.version.era},
                             {"rowVersion", row.version.number},
                             {"reason", parsed.error()}});
            return;
        }
        if (context.configuration && parsed->version < context.configuration->version) {
            Utils::logEvent(Utils::Event::ConfigurationOutdated,
                            {{"version", parsed->version},
                             {"inForce", context.configuration->version},
                             {"era", row.version.era},
                             {"rowVersion", row.version.number}});
            return;
        }
        for (const auto &[name, service] : parsed->services) {
            registry.coldStarts().setService(name, service.coldStart);
            if (service.engine)
                registry.setCapacity(name, service.engine->batchSlots, service.engine->cacheTokens);
        }
        quota.configure(parsed->customers, reactor.now());
        Utils::logEvent(Utils::Event::ConfigurationTaken,
                        {{"version", parsed->version},
                         {"era", row.version.era},
                         {"rowVersion", row.version.number},
                         {"bytes", row.value.size()},
                         {"routes", parsed->routes.size()},
                         {"customers", parsed->customers.size()}});
        context.configuration = std::make_shared<const Configuration>(std::move(*parsed));
        denialCheck.noteConfigurationTaken();
    }

    /// Sends an additional query to the store, as the pending ones may have been lost.
    auto requeryStore(const char *reason, const char *what, TableFollower &follower,
                      const Availability::StalenessDetector &detector) -> void
    {
        Utils::logEvent(
            Utils::Event::StoreAskedAnew,
            {{"reason", reason},
             {"what", what},
             {"era", follower.newestRowVersion().era},
             {"rowVersion", follower.newestRowVersion().number},
             {"othersEra", detector.newestPeerVersion().era},
             {"othersRowVersion", detector.newestPeerVersion().number},
             {"answerMs",
              std::chrono::duration_cast<milliseconds>(follower.responseTime()).count()}});
        follower.queryAgain();
    }

    auto requeryAll(const char *reason) -> void
    {
        requeryStore(reason, "configuration", *configurationFollower, configurationStaleness);
        requeryStore(reason, "servers", backendFollower->follower(), serverListStaleness);
    }

    auto checkFreshness() -> void
    {
        const auto now = reactor.now();
        TableFollower &servers = backendFollower->follower();
        configurationStaleness.noteAnswerTime(configurationFollower->responseTime());
        configurationStaleness.noteProgress(configurationFollower->lastProgressAt());
        serverListStaleness.noteAnswerTime(servers.responseTime());
        serverListStaleness.noteProgress(servers.lastProgressAt());
        const char *const reason = "others know more";
        if (configurationStaleness.isRepeatDue(configurationFollower->completeVersion(), now))
            requeryStore(reason, "configuration", *configurationFollower, configurationStaleness);
        if (serverListStaleness.isRepeatDue(servers.completeVersion(), now))
            requeryStore(reason, "servers", servers, serverListStaleness);
    }

    /// This gateway's part of the retries that the platform allows in one window.
    auto maxSavedRetries() const -> double
    {
        return std::max(1.0, settings.retrySlack * Constants::RetryBudgetUse / gatewayCount);
    }

    auto retryRatio() const -> double { return settings.retryRatio * Constants::RetryBudgetUse; }

    /// Applies new limits to the budgets in use; saved retries are kept as far as they allow.
    auto limitRetries() -> void
    {
        for (auto &[service, budget] : context.retryBudgets)
            budget.setLimits(retryRatio(), maxSavedRetries());
    }

    auto setGatewayCount(int count) -> void
    {
        if (count == gatewayCount)
            return;
        gatewayCount = count;
        registry.setGatewayCount(count);
        quota.setGatewayCount(count, reactor.now());
        limitRetries();
        streamOrigins->setGatewayCount(count);
    }

    /// Incarnations of servers that started up to this time are in the registry.
    auto listedUntil() const -> Utils::TimePoint
    {
        return backendFollower->confirmedAt() - Constants::EntryWriteTime;
    }

    /// The stream may be that of a later incarnation with other software.
    auto handleUnprovedStream(const StreamBeginnings::Beginning &stream) -> void
    {
        if (context.streamOrigins && !stream.attempt.empty())
            context.streamOrigins->noteBegun(stream.attempt, stream.service, {});
        stream.onUnproved();
    }

    auto handleRequestLost(const GatewayContext::LostRequest &lost) -> void
    {
        // Servers that are leaving may end at any time.
        const BackendServer *server = registry.find(lost.backendId);
        if (server && server->isLeaving)
            return;
        crashTracker.noteConnectionLost(lost.backendId, lost.startedAtMs, lost.features,
                                        reactor.now());
        if (server && lost.isCutOff && !server->isEvacuated
            && server->startedAtMs == lost.startedAtMs)
            probeAfterLoss(*server);
    }

    /// Learns from a new connection whether the server has crashed or has closed one connection.
    auto probeAfterLoss(const BackendServer &server) -> void
    {
        if (!crashProbes.try_emplace(server.id).second)
            return;
        reactor.callAfter(
            Constants::CrashProbeDelay,
            [this, id = server.id, address = server.address, startedAtMs = server.startedAtMs] {
                crashProbes[id] = ConnectProbe::start(
                    reactor, address, Constants::CrashProbeTimeout,
                    [this, id, startedAtMs](ConnectProbe::Outcome outcome) {
                        // Deferred, as the probe is inside its callback.
                        reactor.callAfter(milliseconds(0), [this, id] { crashProbes.erase(id); });
                        if (outcome == ConnectProbe::Outcome::Refused) {
                            registry.noteRefusal(id, startedAtMs, reactor.now());
                            crashTracker.noteRefusal(id, startedAtMs, reactor.now());
                        } else if (outcome == ConnectProbe::Outcome::Accepted)
                            crashTracker.noteAccepted(id);
                    });
            });
    }

    /// Sends a message to all other gateways, twice, as datagrams may be lost.
    auto broadcast(const nlohmann::json &message) -> void
    {
        const auto send = [this, message] {
            for (const auto &peer : placement->peers())
                link->send(peer, message);
        };
        send();
        reactor.callAfter(RebroadcastDelay, send);
    }

    auto acceptCaller(std::unique_ptr<Http1::TcpStream> stream) -> void
    {
        auto session = std::make_unique<CallerSession>(
            context, std::move(stream), draining, [this](CallerSession *closed) {
                const auto found = sessions.find(closed);
                if (found == sessions.end())
                    return;
                // Deferred, as the session is inside one of its callbacks.
                reactor.callAfter(
                    milliseconds(0),
                    [kept = std::shared_ptr<CallerSession>(std::move(found->second))] {});
                sessions.erase(found);
            });
        CallerSession *raw = session.get();
        sessions.emplace(raw, std::move(session));
    }

    /// Returns a snapshot of the sessions; each may be removed while others are processed.
    auto openSessions() const -> std::vector<CallerSession *>
    {
        std::vector<CallerSession *> open;
        for (const auto &[raw, session] : sessions)
            open.push_back(raw);
        return open;
    }

    auto drain(const std::function<void()> &done) -> void
    {
        if (draining)
            return;
        draining = true;
        Utils::logEvent(Utils::Event::DrainStarted, {{"sessions", sessions.size()}});
        for (CallerSession *session : openSessions()) {
            if (sessions.count(session) > 0)
                session->closeAfterAnswer();
        }
        // The request may have come at any time since the event loop was last seen to run.
        stopRequestedAt = lastTickAt.value_or(reactor.now());
        context.stop = Availability::StopSchedule::create(stopRequestedAt, settings.stopTime);
        stopTimer = std::make_unique<Net::PeriodicTimer>(reactor, StopCheckInterval,
                                                         [this, done] { checkStop(done); });
    }

    /// Ends the process once no request is open, or none can be finished any more.
    auto checkStop(const std::function<void()> &done) -> void
    {
        const auto now = reactor.now();
        const bool anyBusy = std::any_of(sessions.begin(), sessions.end(),
                                         [](const auto &item) { return item.second->isBusy(); });
        const bool isListening = context.stop->acceptsConnections(now);
        if (!isListening && callerListener) {
            callerListener->acceptPending();
            callerListener.reset();
        }
        if ((anyBusy || isListening) && !context.stop->isOver(now))
            return;
        for (CallerSession *session : openSessions()) {
            if (sessions.count(session) > 0)
                session->abort();
        }
        placement->stop();
        done();
    }
};

GatewayServer::GatewayServer(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

GatewayServer::~GatewayServer()
{
    d->placement.reset();
    d->sessions.clear();
    d->requestQueue.clear();
}

auto GatewayServer::create(Net::Reactor &reactor, const GatewaySettings &settings, RowStore &store,
                           const WireFormat &wire)
    -> Utils::Result<std::unique_ptr<GatewayServer>, std::string>
{
    auto data = std::make_unique<Private>(reactor, settings, wire);
    Private *d = data.get();
    d->context.makeRetryBudget = [d] {
        return Routing::RetryBudget(d->retryRatio(), d->maxSavedRetries());
    };
    d->requestQueue.admission().setModelStates(
        [d](const auto &request) {
            return modelStateOf(d->registry, d->context.configuration.get(), request);
        },
        d->context.forecast);
    d->context.onLeaving = [d](const std::string &backendId, std::int64_t startedAtMs) {
        d->leavingNotifier.noteAnswer(backendId, startedAtMs);
    };
    d->context.onRequestLost = [d](const GatewayContext::LostRequest &lost) {
        d->handleRequestLost(lost);
    };
    d->context.onConnectionLost = [d](const std::string &backendId, std::int64_t startedAtMs) {
        d->incarnationVerifier.noteConnectionLost(backendId, startedAtMs);
    };
    d->pool.onConnectionLost = [d](const std::string &backendId) {
        if (const BackendServer *server = d->registry.find(backendId))
            d->incarnationVerifier.noteConnectionLost(backendId, server->startedAtMs);
    };
    d->registry.selector().setCrossDomainCost(settings.crossDomainCostPerMb);
    d->registry.onShareChanged = [d](const std::string &service,
                                     const Routing::DomainPolicy &policy) {
        Routing::logDomainShare(service, policy);
        d->metrics.set("acacia_cross_domain_share", policy.share(), {{"service", service}});
    };
    d->context.onStreamBegun = [d](StreamBeginnings::Beginning stream) {
        d->streamBeginnings.add(std::move(stream), d->listedUntil());
    };
    if (const auto error = d->open())
        return tl::unexpected(*error);
    d->startFollowers(store);
    d->dispatchTimer = std::make_unique<Net::PeriodicTimer>(reactor, DispatchInterval, [d] {
        d->measureLoopDelay();
        d->requestQueue.wake();
        d->checkFreshness();
    });
    d->registry.coldStarts().setTolerance(settings.coldStartTolerance);
    d->knownGatewaysTimer =
        std::make_unique<Net::PeriodicTimer>(reactor, KnownGatewaysInterval, [d] {
            if (const auto known = d->placement->knownPeers())
                d->registry.coldStarts().setGateways(d->settings.peerAddress, *known,
                                                     d->gatewayCount, d->reactor.now());
        });
    d->logTimer = std::make_unique<Net::PeriodicTimer>(reactor, Constants::LogFlushInterval,
                                                       [] { Utils::flushLog(); });
    return std::unique_ptr<GatewayServer>(new GatewayServer(std::move(data)));
}

auto GatewayServer::setStreamOrigins(StreamOrigins &origins) -> void
{
    d->context.streamOrigins = &origins;
}

auto GatewayServer::reload(const GatewaySettings &settings) -> void
{
    d->settings.stopTime = settings.stopTime;
    if (d->draining)
        d->context.stop = Availability::StopSchedule::create(d->stopRequestedAt, settings.stopTime);
    d->settings.retryRatio = settings.retryRatio;
    d->settings.retrySlack = settings.retrySlack;
    d->limitRetries();
}

auto GatewayServer::drain(const std::function<void()> &done) -> void
{
    d->drain(done);
}

} // namespace Gateway
