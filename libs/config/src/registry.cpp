#include "config/registry.h"

#include "config/document_json.h"

namespace banyancroft::config {

Offer ConfigurationRegistry::offer(Document document, Source source, TimePoint now)
{
    const Offer result = decide(std::move(document), now);
    const bool offeredLost = result == Offer::Older || result == Offer::DivergedKept;
    if (source != Source::Store)
        return result;
    if (!offeredLost) {
        storeBehindSince_.reset();
    } else if (!storeBehindSince_) {
        storeBehindSince_ = now;
    }
    return result;
}

Offer ConfigurationRegistry::decide(Document document, TimePoint now)
{
    if (document_ && document.version < document_->version)
        return Offer::Older;
    if (document_ && document == *document_)
        return Offer::Same;
    std::string text = toJson(document);
    const bool diverged = document_ && document.version == document_->version;
    if (diverged) {
        ++divergences_;
        if (text < text_)
            return Offer::DivergedKept;
    }
    document_ = std::make_shared<const Document>(std::move(document));
    text_ = std::move(text);
    adoptedAt_ = now;
    return diverged ? Offer::DivergedReplaced : Offer::Adopted;
}

} // namespace banyancroft::config
