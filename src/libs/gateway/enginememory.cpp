#include "enginememory.h"

#include "swapplanner.h"

#include <algorithm>

namespace Gateway {

auto weightsOf(const EngineDescription &description, const std::string &model) -> double
{
    const auto found = description.models.find(model);
    return found == description.models.end() ? description.weightsMb : found->second.weightsMb;
}

auto adapterMemoryOf(const EngineDescription &description, const std::string &model) -> double
{
    const auto found = description.models.find(model);
    return found == description.models.end() ? 0 : found->second.adapterMb;
}

auto maxAdapterMemoryMb(const EngineDescription &description) -> double
{
    double largest = 0;
    for (const auto &[name, model] : description.models)
        largest = std::max(largest, model.adapterMb);
    return largest * description.adapterSlots;
}

auto isLoadingFromStore(const PlannedEngine &engine) -> bool
{
    return !engine.loadingModel.empty() && engine.copiesInMemory.count(engine.loadingModel) == 0
        && engine.copiesOnDisk.count(engine.loadingModel) == 0;
}

auto ledgerOf(const EngineDescription &description, const PlannedEngine &engine)
    -> Placement::EngineLedger
{
    Placement::EngineLedger ledger({description.weightsMb, description.adapterSlots});
    for (const std::string &model : engine.models)
        ledger.addModel(weightsOf(description, model));
    for (const std::string &model : engine.adapterModels)
        ledger.addAdapter(adapterMemoryOf(description, model));
    ledger.addEarlierOrders(engine.reserve.weightsMb, engine.reserve.adapters);
    ledger.addLateOrders(engine.reserve.lateMb, engine.reserve.lateAdapters);
    if (engine.reserve.blocksAllLoads)
        ledger.block();
    return ledger;
}

auto adapterRoomOf(const EngineDescription &description, const PlannedEngine &engine,
                   const std::string &model) -> AdapterRoom
{
    const auto ledger = ledgerOf(description, engine);
    const double mb = adapterMemoryOf(description, model);
    if (ledger.canLoadAdapter(mb))
        return AdapterRoom::Free;
    return ledger.canReplaceAdapters(mb) ? AdapterRoom::AfterUnload : AdapterRoom::None;
}

} // namespace Gateway
