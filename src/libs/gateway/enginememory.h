#pragma once

#include <placement/engineledger.h>

#include <string>

namespace Gateway {

struct EngineDescription;
struct PlannedEngine;

/// Whether an engine has room for one more adapter.
enum class AdapterRoom {
    Free,
    AfterUnload, ///< Other adapters have to be unloaded first.
    None,
};

/// Weights of a model in MB. A model that the configuration no longer lists counts as the whole
/// engine.
auto weightsOf(const EngineDescription &description, const std::string &model) -> double;
/// Memory of any adapter of the model in MB; 0 for an unknown model.
auto adapterMemoryOf(const EngineDescription &description, const std::string &model) -> double;
/// Memory of adapters in all slots, of the model with the largest ones.
auto maxAdapterMemoryMb(const EngineDescription &description) -> double;
auto isLoadingFromStore(const PlannedEngine &engine) -> bool;
/// What the engine holds and may still load, for the planning of models and of adapters.
auto ledgerOf(const EngineDescription &description, const PlannedEngine &engine)
    -> Placement::EngineLedger;
auto adapterRoomOf(const EngineDescription &description, const PlannedEngine &engine,
                   const std::string &model) -> AdapterRoom;

} // namespace Gateway
