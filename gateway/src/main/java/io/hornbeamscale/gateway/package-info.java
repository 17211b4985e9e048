/**
 * The entry that forwards requests directly to backend servers. It connects callers, backend servers, the metadata
 * store and the other entries to the decision logic of the core. Adapters translate the names and formats of the
 * platform, see {@link io.hornbeamscale.gateway.ExchangeCodec}, {@link io.hornbeamscale.gateway.MetadataStore} and
 * {@link io.hornbeamscale.gateway.StoreSchema}.
 */
package io.hornbeamscale.gateway;
