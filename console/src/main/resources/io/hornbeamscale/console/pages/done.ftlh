<#import "layout.ftlh" as l>
<@l.page>
  <#if version gt 0>
  <p role="status">Version <strong>${version}</strong> is published. Nodes take it over within seconds.</p>
  <#if key?has_content>
  <section class="warning" aria-labelledby="key">
    <h2 id="key">The customer's new key</h2>
    <p><code class="key">${key}</code></p>
    <p>Copy it now. It is not stored and cannot be shown again.</p>
  </section>
  </#if>
  <h2>Changes</h2>
  <@l.changes lines=lines/>
  <#else>
  <p role="status">The document has this content already. Nothing was published.</p>
  </#if>
  <p><a href="/console/${section.key}">Back to ${section.title}</a></p>
</@l.page>
