#include "config/registry.h"

#include "config/document_json.h"

namespace banyancroft::config {

OfferResult ConfigurationRegistry::offer(Document document, DocumentSource source, TimePoint now)
{
    const OfferResult result = adoptIfNewer(std::move(document), now);
    const bool rejected = result == OfferResult::Older || result == OfferResult::DivergedKept;
    if (source != DocumentSource::Store)
        return result;
    if (!rejected) {
        storeBehindSince_.reset();
    } else if (!storeBehindSince_) {
        storeBehindSince_ = now;
    }
    return result;
}

OfferResult ConfigurationRegistry::adoptIfNewer(Document document, TimePoint now)
{
    if (document_ && document.version < document_->version)
        return OfferResult::Older;
    if (document_ && document == *document_)
        return OfferResult::Same;
    std::string text = toJson(document);
    const bool diverged = document_ && document.version == document_->version;
    if (diverged) {
        ++divergences_;
        if (text < text_)
            return OfferResult::DivergedKept;
    }
    document_ = std::make_shared<const Document>(std::move(document));
    text_ = std::move(text);
    adoptedAt_ = now;
    return diverged ? OfferResult::DivergedReplaced : OfferResult::Adopted;
}

} // namespace banyancroft::config
