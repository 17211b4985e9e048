<#import "layout.ftlh" as l>
<#macro describedby field>aria-describedby="${field.name}-hint<#if field.errors?has_content> ${field.name}-error</#if>"<#if field.errors?has_content> aria-invalid="true"</#if></#macro>
<#macro errors field><#if field.errors?has_content><p class="error" id="${field.name}-error"><#list field.errors as error>${error}<#sep><br></#list></p></#if></#macro>
<@l.page hasError=hasErrors>
  <#if hasErrors>
  <div class="summary" role="alert" tabindex="-1">
    <h2>Nothing was published. Please correct:</h2>
    <ul>
      <#list fields as field><#list field.errors as error><li><a href="#${field.name}">${field.label}: ${error}</a></li></#list></#list>
      <#list others as other><li>Elsewhere in the document: ${other}</li></#list>
    </ul>
  </div>
  </#if>
  <form method="post" action="/console/${section.key}/review" novalidate>
    <@l.token/>
    <input type="hidden" name="expect" value="${expect}">
    <input type="hidden" name="original" value="${original}">
    <input type="hidden" name="why" value="${why}">
    <#list fields as field>
    <#switch field.control>
    <#case "flag">
    <div class="field<#if field.errors?has_content> wrong</#if>">
      <@errors field/>
      <label class="flag"><input id="${field.name}" type="checkbox" name="${field.name}" value="true"<#if field.values?has_content> checked</#if> <@describedby field/>> ${field.label}</label>
      <p class="hint" id="${field.name}-hint">${field.hint}</p>
    </div>
    <#break>
    <#case "checks">
    <fieldset class="field<#if field.errors?has_content> wrong</#if>" id="${field.name}" tabindex="-1" <@describedby field/>>
      <legend>${field.label}</legend>
      <p class="hint" id="${field.name}-hint">${field.hint}</p>
      <@errors field/>
      <#list field.options as option>
      <label class="flag"><input type="checkbox" name="${field.name}" value="${option}"<#if field.values?seq_contains(option)> checked</#if>> ${option}</label>
      </#list>
    </fieldset>
    <#break>
    <#default>
    <div class="field<#if field.errors?has_content> wrong</#if>">
      <label for="${field.name}">${field.label}<#if !field.isRequired()> <span class="optional">(optional)</span></#if></label>
      <p class="hint" id="${field.name}-hint">${field.hint}<#if field.control == "lines"> One per line.</#if></p>
      <@errors field/>
      <#if field.control == "select">
      <select id="${field.name}" name="${field.name}" <@describedby field/>>
        <#if !field.values?has_content && field.isRequired()><option value="">Choose</option></#if>
        <#list field.options as option>
        <option value="${option}"<#if option == field.value()> selected</#if>>${option?has_content?then(option, "none")}</option>
        </#list>
      </select>
      <#elseif field.control == "lines">
      <textarea id="${field.name}" name="${field.name}" rows="${(field.values?size + 1)}" <@describedby field/>>${field.lines()}</textarea>
      <#else>
      <input id="${field.name}" name="${field.name}" type="text" autocomplete="off" value="${field.value()}" <@describedby field/>>
      </#if>
    </div>
    </#switch>
    </#list>
    <#if offersKey>
    <div class="field">
      <label class="flag"><input type="checkbox" name="newKey" value="yes"<#if newKey> checked</#if> aria-describedby="newKey-hint"> Generate a new key</label>
      <p class="hint" id="newKey-hint">The key is shown once, after publishing. Only its digest is stored.</p>
    </div>
    </#if>
    <div class="buttons">
      <button>Compare</button>
      <#if section.isList() && original?has_content>
      <button class="danger" name="remove" value="yes">Remove this ${section.singular}</button>
      </#if>
      <a href="/console/${section.isList()?then(section.key, "")}">Cancel</a>
    </div>
  </form>
</@l.page>
