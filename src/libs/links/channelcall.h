#pragma once

#include <links/framebuffer.h>
#include <links/linkchannel.h>

#include <memory>
#include <string>

namespace Links::Internal {

/// A request and the callbacks of its caller.
struct ChannelCall
{
    LinkChannel::CallId id = 0;
    std::string path;
    std::string body;
    LinkChannel::MessageCallback onMessage;
    LinkChannel::DoneCallback onDone;
    FrameBuffer frames;
    size_t bodySent = 0;
    bool finished = false;
};

using CallPointer = std::shared_ptr<ChannelCall>;

} // namespace Links::Internal
